//! Measurements of the service, and of the marginal costs in docs/CAPACITY.md.
//!
//! `cargo run --release -p hemlockcrank_standin --example measure -- NAME [--json]`, with NAME one of
//! `replica-share`, `failover-gap`, `worst-workspace`, `wrongful-refusals`, `zone-move` and `slopes`.

#![expect(
    clippy::print_stdout,
    clippy::print_stderr,
    reason = "reports are printed"
)]

mod cli;
mod failover;
mod fairness;
mod load;
mod replica;
mod report;
mod slopes;
mod zone;

use std::process::ExitCode;

use cli::Measure;
use hemlockcrank_standin::SiteError;
use report::Report;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = Measure::from_env_or_exit();
    match run(&flags.name).await {
        Ok(Some(report)) => {
            println!("{}", report.render(flags.json));
            ExitCode::SUCCESS
        }
        Ok(None) => {
            eprintln!("no measure is called `{}`", flags.name);
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("the measurement failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(name: &str) -> Result<Option<Report>, SiteError> {
    let report = match name {
        "replica-share" => replica::measure().await?,
        "failover-gap" => failover::measure().await?,
        "worst-workspace" => fairness::worst_workspace().await?,
        "wrongful-refusals" => fairness::wrongful_refusals().await?,
        "zone-move" => zone::measure().await?,
        "slopes" => slopes::measure().await?,
        _ => return Ok(None),
    };
    Ok(Some(report))
}
