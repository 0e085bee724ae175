//! Entry point of the daemon: command line, logging and signals.
//!
//! Exit status: 0 after a graceful shutdown, 2 for bad settings or arguments, 1 for other failures.

mod cli;

use std::{path::Path, process::ExitCode};

use cli::{Hemlockcrank, HemlockcrankCmd};
use hemlockcrank_host::{Daemon, Settings, event::Event, logging};
use miette::Report;
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
};

/// Exit status for bad settings or arguments.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    match Hemlockcrank::from_env_or_exit().subcommand {
        HemlockcrankCmd::Run(run) => run_host(&run.settings),
        HemlockcrankCmd::Check(check) => check_settings(&check.file),
        HemlockcrankCmd::Version(_) => {
            print_line(concat!("hemlockcrank ", env!("CARGO_PKG_VERSION")));
            ExitCode::SUCCESS
        }
    }
}

fn check_settings(path: &Path) -> ExitCode {
    match Settings::load(path) {
        Ok(settings) => {
            print_line(&format!("settings of host `{}` are good", settings.host));
            ExitCode::SUCCESS
        }
        Err(error) => print_error(&Report::new(*error), EXIT_USAGE),
    }
}

fn run_host(path: &Path) -> ExitCode {
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return print_error(&Report::new(*error), EXIT_USAGE),
    };
    logging::start(settings.log);
    let runtime = match settings.platform {
        // Hosts of a platform are small: a second traffic thread would only add wake-ups.
        Some(_) => Builder::new_current_thread().enable_all().build(),
        None => Builder::new_multi_thread()
            .enable_all()
            .thread_name("traffic")
            .build(),
    };
    let Ok(runtime) = runtime else {
        return ExitCode::FAILURE;
    };
    let outcome = runtime.block_on(serve(settings, path));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => print_error(&report, 1),
    }
}

async fn serve(settings: Settings, path: &Path) -> Result<(), Report> {
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| Report::msg(e.to_string()))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| Report::msg(e.to_string()))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| Report::msg(e.to_string()))?;
    let mut daemon = match settings.platform {
        Some(_) => hemlockcrank_platform::start(settings).await?,
        None => Daemon::start(settings).await?,
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&daemon, path),
            error = daemon.failed() => return Err(error.into()),
        }
    }
    daemon.shut_down().await;
    Ok(())
}

/// Reads the settings again and logs whether they are valid. Changed settings take effect at the
/// next start; other hosts are discovered through the view.
fn reload(daemon: &Daemon, path: &Path) {
    let outcome = match Settings::load(path) {
        Ok(_) => "good".to_owned(),
        Err(error) => error.to_string(),
    };
    let timeline = &daemon.context().timeline;
    timeline.emit(Event::Reloaded, &[("settings", &outcome)]);
}

#[expect(clippy::print_stdout, reason = "output of a command")]
fn print_line(line: &str) {
    println!("{line}");
}

#[expect(clippy::print_stderr, reason = "error report for the operator")]
fn print_error(report: &Report, status: u8) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(status)
}
