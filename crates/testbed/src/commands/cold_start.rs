//! `cold-start`: starts a fleet of processes at once and injects faults.

use std::path::{Path, PathBuf};

use clap::Args;
use honeyknot_testbed::fleet;
use honeyknot_testbed::fleet::cold_start::ColdStart;

use super::process_run::{ProcessRunArgs, Verdict, own_program};
use super::{Outcome, interrupted};

#[derive(Debug, Args)]
pub(crate) struct ColdStartArgs {
    /// The faults that are injected while the relays start.
    #[arg(long, value_enum, default_value = "healthy")]
    scenario: ColdStart,
    /// Number of relays.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u16).range(1..=1_600))]
    relays: u16,
    /// Fleet size in the relays' configuration; default: the number of relays.
    #[arg(long = "told", value_name = "TOLD")]
    configured_fleet_size: Option<u32>,
    /// Number of endpoints.
    #[arg(long = "cards", value_name = "CARDS", default_value_t = 40, value_parser = clap::value_parser!(u16).range(1..=200))]
    endpoints: u16,
    /// Time that discovery takes to produce a full endpoint list, in milliseconds.
    #[arg(long = "call-ms", value_name = "CALL_MS", default_value_t = 20, value_parser = clap::value_parser!(u64).range(0..=10_000))]
    full_list_ms: u64,
    /// Number of clients per relay.
    #[arg(long, default_value_t = 4)]
    clients: u16,
    /// Start the endpoints together with the relays, so that they have to warm up.
    #[arg(long = "cold")]
    cold_endpoints: bool,
    /// Random seed of the generated fault script, the clients and the relays.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File with a fault script that replaces the one of the scenario.
    #[arg(long = "faults", value_name = "SCRIPT")]
    fault_script: Option<PathBuf>,
    #[command(flatten)]
    run: ProcessRunArgs,
}

impl ColdStartArgs {
    fn relay_count(&self) -> usize {
        usize::from(self.relays)
    }

    /// Returns the fault script given by `--faults`, else the one of the scenario.
    fn script(&self) -> Result<fleet::script::Script, String> {
        let Some(file) = &self.fault_script else {
            return self.scenario.script(self.relay_count(), self.full_list_ms, self.seed);
        };
        let text = std::fs::read_to_string(file)
            .map_err(|error| format!("cannot read the fault script {}: {error}", file.display()))?;
        fleet::script::parse_script(&file.display().to_string(), &text)
    }

    /// Returns the plan of the fleet, with addresses in the given loopback network.
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

    /// Prints the generated fault script of a failed run so that it can be replayed.
    fn print_generated_script(&self) {
        if self.scenario == ColdStart::Generated && self.fault_script.is_none() {
            let text = self.scenario.script_text(self.relay_count(), self.full_list_ms, self.seed);
            eprintln!(
                "seed {}: to replay this run, write these lines to a file and pass it with --faults:\n{text}",
                self.seed
            );
        }
    }
}

/// Runs a cold start. Event logs are written to the folder given by `--logs`, else to `default_folder`.
///
/// # Errors
/// Returns a message if an argument is invalid or the run fails.
pub(crate) async fn run(args: ColdStartArgs, default_folder: &Path) -> Result<Outcome, String> {
    let folder = args.run.event_log_folder(default_folder)?;
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
    let verdict = Verdict {
        violations: &report.violations,
        lag_ms: report.machine_overloaded.then_some(report.lag_ms),
    };
    verdict.print(&report, args.run.json)
}
