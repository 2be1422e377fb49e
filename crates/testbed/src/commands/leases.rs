//! `leases`: lease servers and lease holders as processes, with faults between them.

use std::path::Path;
use std::time::Duration;

use clap::Args;
use honeyknot_lease::InjectedFault;
use honeyknot_testbed::{fleet, leases};

use super::process_run::{ProcessRunArgs, Verdict, own_program};
use super::{Outcome, interrupted};

#[derive(Debug, Args)]
pub(crate) struct LeaseArgs {
    /// What goes wrong while leases are held.
    #[arg(long, value_enum, default_value = "steady")]
    scenario: leases::run::Scenario,
    /// Lease servers.
    #[arg(long = "keepers", value_name = "KEEPERS", default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=7))]
    lease_servers: u8,
    /// Lease holders.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(1..=400))]
    relays: u16,
    /// Tasks; the far side checks the tokens of every second one.
    #[arg(long, default_value_t = 6)]
    tasks: u16,
    /// How long a lease lasts, in milliseconds.
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(500..=60_000))]
    lease_ms: u64,
    /// How long the run is, in seconds.
    #[arg(long = "length", value_name = "LENGTH", default_value_t = 30, value_parser = clap::value_parser!(u64).range(10..=600))]
    length_s: u64,
    /// Seeds the faults and what holders do.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Inject a fault, which the run must show.
    #[arg(long = "planted", value_name = "NAME", value_parser = leases::parse_fault)]
    injected_fault: Option<InjectedFault>,
    #[command(flatten)]
    run: ProcessRunArgs,
}

/// Runs a scenario of leases; `own_folder` holds its event logs unless a folder was named.
///
/// # Errors
/// A text where the run could not be done.
pub(crate) async fn run(args: LeaseArgs, own_folder: &Path) -> Result<Outcome, String> {
    let folder = args.run.event_log_folder(own_folder)?;
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
    let verdict =
        Verdict { broken: &report.violations, lag_ms: report.machine_overloaded.then_some(report.lag_ms) };
    verdict.print(&report, args.run.json)
}
