//! The sub-commands. Each module defines the arguments of one, runs it and prints its results.

mod arguments;
mod cold_start;
mod leases;
mod live_view;
mod part;
mod process_run;
mod simulated_site;
mod site;
mod site_report;
mod try_environment;

use clap::Subcommand;
use tokio::signal::unix::{SignalKind, signal};

use cold_start::ColdStartArgs;
use leases::LeaseArgs;
use part::PartArgs;
use site::SiteArgs;
use try_environment::TryArgs;

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run an environment and show its state while a zone fails and recovers.
    Try(TryArgs),
    /// Run a scenario in which a zone fails, with real relays, and print what clients and endpoints counted.
    Site(SiteArgs),
    /// Start a fleet of processes at once, inject faults, and print what clients, endpoints and discovery
    /// counted.
    ColdStart(ColdStartArgs),
    /// Run lease servers and lease holders as processes, inject faults, and print what the recording
    /// server counted.
    Leases(LeaseArgs),
    /// Run one process of a fleet.
    #[command(hide = true)]
    Part(PartArgs),
}

/// Whether a run passed all its checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// All checks passed.
    Passed,
    /// At least one check failed, or the run does not count.
    Failed,
}

impl Outcome {
    fn from_passed(passed: bool) -> Outcome {
        if passed { Outcome::Passed } else { Outcome::Failed }
    }
}

/// Runs a sub-command.
///
/// # Errors
/// Returns a message for the operator if an argument is invalid or the run fails.
pub(crate) async fn run(command: Command) -> Result<Outcome, String> {
    if let Command::Part(args) = command {
        // Runs before the temporary folder is created: this process may be killed at any time, which would
        // leave it behind.
        part::run(args).await?;
        // Exits the process, because a blocking read of standard input would keep the runtime from shutting
        // down.
        std::process::exit(0);
    }
    let folder = tempfile::tempdir().map_err(|error| format!("cannot create a temporary folder: {error}"))?;
    match command {
        Command::Part(_) => Ok(Outcome::Passed),
        Command::Try(args) => try_environment::run(args, folder.path()).await,
        Command::Site(args) => site::run(args, folder.path()).await,
        Command::ColdStart(args) => cold_start::run(args, folder.path()).await,
        Command::Leases(args) => leases::run(args, folder.path()).await,
    }
}

/// Resolves at Ctrl-C or SIGTERM, so that the run ends and its relays are killed. Never resolves if the
/// signal handlers cannot be installed.
async fn interrupted() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    tokio::select! {
        result = tokio::signal::ctrl_c() => if result.is_err() { std::future::pending::<()>().await },
        _ = terminate.recv() => {}
    }
}
