//! `part`: one process of a fleet. The testbed starts these processes itself.

use clap::{Args, ValueEnum};
use honeyknot_testbed::{fleet, leases};

#[derive(Debug, Args)]
pub(crate) struct PartArgs {
    /// The process to run.
    #[arg(value_enum)]
    kind: PartKind,
}

/// The processes of a fleet. The value names are the arguments that the testbed passes when it starts them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum PartKind {
    #[value(name = "list")]
    Discovery,
    #[value(name = "cards")]
    Endpoints,
    Clients,
    #[value(name = "links")]
    FaultProxy,
    Relays,
    #[value(name = "far")]
    RecordingServer,
    #[value(name = "holder")]
    LeaseHolder,
    #[value(name = "keeper")]
    LeaseServer,
}

/// Runs the process until its standard input is closed.
///
/// # Errors
/// Returns a message if the process cannot start.
pub(crate) async fn run(args: PartArgs) -> Result<(), String> {
    match args.kind {
        PartKind::Discovery => fleet::run_process(fleet::discovery::start).await,
        PartKind::Endpoints => fleet::run_process(fleet::endpoints::start).await,
        PartKind::Clients => fleet::run_process(fleet::clients::start).await,
        PartKind::FaultProxy => fleet::run_process(fleet::fault_proxy::start).await,
        PartKind::Relays => fleet::run_process(fleet::relays::start).await,
        PartKind::RecordingServer => fleet::run_process(leases::recording_server::start).await,
        PartKind::LeaseHolder => fleet::run_process(leases::holder::start).await,
        PartKind::LeaseServer => leases::lease_server::run_process(),
    }
}
