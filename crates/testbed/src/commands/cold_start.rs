//! `cold-start`: a whole fleet of processes that starts at once, with faults between them.

use std::path::{Path, PathBuf};

use clap::Args;
use honeyknot_testbed::fleet;
use honeyknot_testbed::fleet::cold_start::ColdStart;

use super::process_run::{ProcessRunArgs, Verdict, own_program};
use super::{Outcome, interrupted};

#[derive(Debug, Args)]
pub(crate) struct ColdStartArgs {
    /// What goes wrong while the relays start.
    #[arg(long, value_enum, default_value = "healthy")]
    scenario: ColdStart,
    /// Relays in all.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u16).range(1..=1_600))]
    relays: u16,
    /// The fleet size that each relay is configured with; without it, the true one.
    #[arg(long = "told", value_name = "TOLD")]
    configured_fleet_size: Option<u32>,
    /// Endpoints in all.
    #[arg(long = "cards", value_name = "CARDS", default_value_t = 40, value_parser = clap::value_parser!(u16).range(1..=200))]
    endpoints: u16,
    /// What a full endpoint list costs discovery, in milliseconds.
    #[arg(long = "call-ms", value_name = "CALL_MS", default_value_t = 20, value_parser = clap::value_parser!(u64).range(0..=10_000))]
    full_list_ms: u64,
    /// Clients of each relay.
    #[arg(long, default_value_t = 4)]
    clients: u16,
    /// Endpoints start with the run and warm up.
    #[arg(long = "cold")]
    cold_endpoints: bool,
    /// Seeds the generated script, the clients and the relays.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A fault script instead of the scenario's own.
    #[arg(long = "faults", value_name = "SCRIPT")]
    fault_script: Option<PathBuf>,
    #[command(flatten)]
    run: ProcessRunArgs,
}

impl ColdStartArgs {
    fn relay_count(&self) -> usize {
        usize::from(self.relays)
    }

    /// Returns the fault script: the file that was named, or the scenario's own.
    fn script(&self) -> Result<fleet::script::Script, String> {
        let Some(file) = &self.fault_script else {
            return self.scenario.script(self.relay_count(), self.full_list_ms, self.seed);
        };
        let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
        fleet::script::parse_script(&file.display().to_string(), &text)
    }

    /// Returns the fleet's plan, on the loopback network of that number.
    fn plan(&self, network: &fleet::run::LoopbackNetwork, folder: PathBuf) -> Result<fleet::Plan, String> {
        let relays = self.relay_count();
        Ok(fleet::Plan {
            network: network.number,
            seed: self.seed,
            relays,
            configured_fleet_size: self.configured_fleet_size.map_or(relays, |size| size as usize),
            endpoints: usize::from(self.endpoints),
            full_list_ms: self.full_list_ms,
            clients: usize::from(self.clients),
            initial_list: self.scenario.initial_list(),
            cold_endpoints: self.cold_endpoints,
            links: Vec::new(),
            folder,
            program: self.run.program()?,
            process_parameters: (0, 1),
            ..fleet::Plan::default()
        })
    }

    /// Prints the generated script of a run that broke a promise, so that it can be replayed.
    fn print_generated_script(&self) {
        if self.scenario == ColdStart::Generated && self.fault_script.is_none() {
            let text = self.scenario.script_text(self.relay_count(), self.full_list_ms, self.seed);
            eprintln!("seed {}; --faults with these lines replays the script:\n{text}", self.seed);
        }
    }
}

/// Runs a cold start; `own_folder` holds its event logs unless a folder was named.
///
/// # Errors
/// A text where the run could not be done.
pub(crate) async fn run(args: ColdStartArgs, own_folder: &Path) -> Result<Outcome, String> {
    let folder = args.run.event_log_folder(own_folder)?;
    let script = args.script()?;
    let network = fleet::run::LoopbackNetwork::reserve(args.seed)?;
    let plan = args.plan(&network, folder)?;
    let run = fleet::run::run_script(&plan, &script, own_program()?, interrupted()).await?;
    let scenario = args.scenario;
    let report = fleet::analysis::analyze(
        &plan,
        scenario.name(),
        run.started_at,
        &run.records,
        scenario.expectations(),
    );
    if !report.violations.is_empty() {
        args.print_generated_script();
    }
    let verdict =
        Verdict { broken: &report.violations, lag_ms: report.machine_overloaded.then_some(report.lag_ms) };
    verdict.print(&report, args.run.json)
}
