//! `leases`: runs lease servers and lease holders as processes and injects faults.

use std::path::Path;
use std::time::Duration;

use clap::Args;
use honeyknot_lease::InjectedFault;
use honeyknot_testbed::{fleet, leases};

use super::process_run::{ProcessRunArgs, Verdict, own_program};
use super::{Outcome, interrupted};

#[derive(Debug, Args)]
pub(crate) struct LeaseArgs {
    /// The faults that are injected.
    #[arg(long, value_enum, default_value = "steady")]
    scenario: leases::run::Scenario,
    /// Number of lease servers.
    #[arg(long = "keepers", value_name = "KEEPERS", default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=7))]
    lease_servers: u8,
    /// Number of lease holders.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(1..=400))]
    relays: u16,
    /// Number of tasks; the recording server checks the fencing tokens of every second task.
    #[arg(long, default_value_t = 6)]
    tasks: u16,
    /// Lease duration in milliseconds.
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(500..=60_000))]
    lease_ms: u64,
    /// Duration of the run in seconds.
    #[arg(long = "length", value_name = "LENGTH", default_value_t = 30, value_parser = clap::value_parser!(u64).range(10..=600))]
    length_s: u64,
    /// Random seed of the faults and of the holders.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Inject a fault into the lease implementation; the run must detect it.
    #[arg(long = "planted", value_name = "NAME", value_parser = leases::parse_fault)]
    injected_fault: Option<InjectedFault>,
    #[command(flatten)]
    run: ProcessRunArgs,
}

/// Runs a lease scenario. Event logs are written to the folder given by `--logs`, else to `default_folder`.
///
/// # Errors
/// Returns a message if an argument is invalid or the run fails.
pub(crate) async fn run(args: LeaseArgs, default_folder: &Path) -> Result<Outcome, String> {
    let folder = args.run.event_log_folder(default_folder)?;
    let network = fleet::run::LoopbackNetwork::reserve(args.seed)?;
    let plan = fleet::Plan {
        network: network.number,
        seed: args.seed,
        relays: usize::from(args.relays),
        folder,
        program: args.run.program()?,
        leases: fleet::LeaseOptions {
            servers: usize::from(args.lease_servers),
            lease_ms: args.lease_ms,
            tasks: usize::from(args.tasks),
            injected_fault: args.injected_fault,
            ..fleet::LeaseOptions::default()
        },
        ..fleet::Plan::default()
    };
    let length = Duration::from_secs(args.length_s);
    let report =
        leases::run::run_scenario(plan, args.scenario, length, own_program()?, interrupted()).await?;
    let verdict = Verdict {
        violations: &report.violations,
        lag_ms: report.machine_overloaded.then_some(report.lag_ms),
    };
    verdict.print(&report, args.run.json)
}
