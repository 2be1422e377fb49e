//! Sub-commands: each module parses its arguments, runs one scenario and prints its figures.

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
    /// Run a whole environment and look at it while it loses and regains a zone.
    Try(TryArgs),
    /// Run a scenario in which a zone is lost, with real relays, and print figures counted by clients and endpoints.
    Site(SiteArgs),
    /// Start a whole fleet of processes at once, with faults between them, and print what the far side counted.
    ColdStart(ColdStartArgs),
    /// Run lease servers and lease holders as processes, with faults between them, and print what their far side counted.
    Leases(LeaseArgs),
    /// Run a part of a fleet.
    #[command(hide = true)]
    Part(PartArgs),
}

/// Whether every promise of a run held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Every promise held.
    Held,
    /// At least one promise was broken, or the run does not count.
    Broken,
}

impl Outcome {
    fn from_held(held: bool) -> Outcome {
        if held { Outcome::Held } else { Outcome::Broken }
    }
}

/// Runs a sub-command.
///
/// # Errors
/// A text for the operator where the run could not be done.
pub(crate) async fn run(command: Command) -> Result<Outcome, String> {
    if let Command::Part(args) = command {
        // Before any folder is made: a part may be killed at any time.
        part::run(args).await?;
        // A blocking read of standard input still occupies a thread of the runtime.
        std::process::exit(0);
    }
    let folder = tempfile::tempdir().map_err(|error| format!("no folder for files: {error}"))?;
    match command {
        Command::Part(_) => Ok(Outcome::Held),
        Command::Try(args) => try_environment::run(args, folder.path()).await,
        Command::Site(args) => site::run(args, folder.path()).await,
        Command::ColdStart(args) => cold_start::run(args, folder.path()).await,
        Command::Leases(args) => leases::run(args, folder.path()).await,
    }
}

/// Resolves at Ctrl-C or SIGTERM; the relays are ended either way.
async fn interrupted() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    tokio::select! {
        result = tokio::signal::ctrl_c() => if result.is_err() { std::future::pending::<()>().await },
        _ = terminate.recv() => {}
    }
}
