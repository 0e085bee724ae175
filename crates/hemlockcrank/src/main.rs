//! The daemon's process: command line, logging, signals.
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
            say(concat!("hemlockcrank ", env!("CARGO_PKG_VERSION")));
            ExitCode::SUCCESS
        }
    }
}

fn check_settings(path: &Path) -> ExitCode {
    match Settings::load(path) {
        Ok(settings) => {
            say(&format!("settings of host `{}` are good", settings.host));
            ExitCode::SUCCESS
        }
        Err(error) => complain(&Report::new(*error), EXIT_USAGE),
    }
}

fn run_host(path: &Path) -> ExitCode {
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return complain(&Report::new(*error), EXIT_USAGE),
    };
    logging::start(settings.log);
    let runtime = match settings.platform {
        // Small hosts: a second traffic thread would only add wake-ups.
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
        Err(report) => complain(&report, 1),
    }
}

async fn serve(settings: Settings, path: &Path) -> Result<(), Report> {
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| Report::msg(e.to_string()))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| Report::msg(e.to_string()))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| Report::msg(e.to_string()))?;
    let daemon = match settings.platform {
        Some(_) => hemlockcrank_platform::start(settings).await?,
        None => Daemon::start(settings).await?,
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&daemon, path),
        }
    }
    daemon.shut_down().await;
    Ok(())
}

/// Reads the settings again. What they hold is used at the next start; hosts are learnt from the view.
fn reload(daemon: &Daemon, path: &Path) {
    let outcome = match Settings::load(path) {
        Ok(_) => "good".to_owned(),
        Err(error) => error.to_string(),
    };
    let timeline = &daemon.context().timeline;
    timeline.emit(Event::Reloaded, &[("settings", &outcome)]);
}

#[expect(clippy::print_stdout, reason = "the answer of a command")]
fn say(line: &str) {
    println!("{line}");
}

#[expect(clippy::print_stderr, reason = "a report to the operator")]
fn complain(report: &Report, status: u8) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(status)
}
