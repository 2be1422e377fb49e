//! `part`: one process of a fleet, which the testbed starts itself.

use clap::{Args, ValueEnum};
use honeyknot_testbed::{fleet, leases};

#[derive(Debug, Args)]
pub(crate) struct PartArgs {
    /// Which.
    #[arg(value_enum)]
    kind: PartKind,
}

/// The process that is run; the value names are what the testbed passes to itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum PartKind {
    #[value(name = "list")]
    Discovery,
    #[value(name = "cards")]
    Endpoints,
    Clients,
    Links,
    Relays,
    #[value(name = "far")]
    RecordingServer,
    #[value(name = "holder")]
    LeaseHolder,
    #[value(name = "keeper")]
    LeaseServer,
}

/// Runs the part until its standard input ends.
///
/// # Errors
/// A text where the part does not start.
pub(crate) async fn run(args: PartArgs) -> Result<(), String> {
    match args.kind {
        PartKind::Discovery => fleet::run_process(fleet::discovery::start).await,
        PartKind::Endpoints => fleet::run_process(fleet::endpoints::start).await,
        PartKind::Clients => fleet::run_process(fleet::clients::start).await,
        PartKind::Links => fleet::run_process(fleet::fault_proxy::start).await,
        PartKind::Relays => fleet::run_process(fleet::relays::start).await,
        PartKind::RecordingServer => fleet::run_process(leases::recording_server::start).await,
        PartKind::LeaseHolder => fleet::run_process(leases::holder::start).await,
        PartKind::LeaseServer => leases::lease_server::run_process(),
    }
}
