//! `site`: runs a scenario in which a zone fails and recovers, with real relays or on a virtual clock.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use honeyknot_testbed::emulators::environment::Environment;
use honeyknot_testbed::scenarios::run::run_scenario;
use honeyknot_testbed::scenarios::scenario::Scenario;

use super::arguments::{EnvironmentArgs, parse_duration};
use super::site_report::print_summary;
use super::{Outcome, interrupted, simulated_site};

#[derive(Debug, Args)]
pub(crate) struct SiteArgs {
    /// The scenario to run.
    #[arg(long, value_enum, default_value = "lost")]
    pub(crate) scenario: Scenario,
    /// Print one JSON object as the last line.
    #[arg(long)]
    pub(crate) json: bool,
    /// End the run after this time, such as 20s, 500ms or 2m.
    #[arg(long, value_name = "SPAN", value_parser = parse_duration)]
    length: Option<Duration>,
    /// Keep the relays' logs in this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Simulate the zone failover on a virtual clock, without sockets and relay processes.
    #[arg(long)]
    simulated: bool,
    /// Number of zones of a simulated environment.
    #[arg(long = "sites-count", value_name = "SITES_COUNT", requires = "simulated", default_value_t = 4, value_parser = clap::value_parser!(u16).range(4..=128))]
    pub(crate) zone_count: u16,
    /// Load of a simulated fleet without faults, as a share of its capacity, not counting affinity groups.
    #[arg(long, requires = "simulated", default_value_t = 0.4)]
    pub(crate) load: f64,
    #[command(flatten)]
    pub(crate) environment: EnvironmentArgs,
}

/// Runs the scenario and prints its report.
///
/// # Errors
/// Returns a message if an argument is invalid or the run fails.
pub(crate) async fn run(args: SiteArgs, folder: &Path) -> Result<Outcome, String> {
    if args.simulated {
        return simulated_site::run(&args);
    }
    let mut scenario_run = args.environment.scenario_run(args.scenario, folder)?;
    (scenario_run.max_duration, scenario_run.log_folder) = (args.length, args.logs);
    let mut printed_events = 0;
    let print_events = |environment: &Environment| {
        for (at, text) in &environment.events[printed_events..] {
            eprintln!("{:>5.1} s  {text}", *at as f64 / 1e6);
        }
        printed_events = environment.events.len();
    };
    let report = run_scenario(&scenario_run, print_events, interrupted()).await?;
    if args.json {
        println!("{}", serde_json::to_string(&report).map_err(|error| error.to_string())?);
    } else {
        print_summary(&report);
    }
    Ok(Outcome::from_passed(report.violations.is_empty()))
}
