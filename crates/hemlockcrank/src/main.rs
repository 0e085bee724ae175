//! The daemon's process: command line, logging, signals.
//!
//! Exit status: 0 after a graceful shutdown, 2 for bad settings or arguments, 1 for other failures.

mod cli;

use std::{path::Path, process::ExitCode};

use cli::{Hemlockcrank, HemlockcrankCmd};
use hemlockcrank::{Daemon, Settings, logging};
use miette::Report;
use tokio::signal::unix::{SignalKind, signal};

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
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::FAILURE;
    };
    let outcome = runtime.block_on(serve(settings));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => complain(&report, 1),
    }
}

async fn serve(settings: Settings) -> Result<(), Report> {
    let daemon = Daemon::start(settings).await?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| Report::msg(e.to_string()))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| Report::msg(e.to_string()))?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.shut_down().await;
    Ok(())
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
