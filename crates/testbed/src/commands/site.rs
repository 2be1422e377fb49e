//! `site`: a scenario in which a zone is lost and regained, with real relays or on a virtual clock.

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
    /// What goes wrong.
    #[arg(long, value_enum, default_value = "lost")]
    pub(crate) scenario: Scenario,
    /// Print one JSON object as the last line.
    #[arg(long)]
    pub(crate) json: bool,
    /// End the run after this.
    #[arg(long, value_name = "SPAN", value_parser = parse_duration)]
    length: Option<Duration>,
    /// Keep the relays' logs in this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Run the pure decisions on a virtual clock instead, without sockets and relays' processes.
    #[arg(long)]
    simulated: bool,
    /// Zones of a simulated environment.
    #[arg(long = "sites-count", value_name = "SITES_COUNT", requires = "simulated", default_value_t = 4, value_parser = clap::value_parser!(u16).range(4..=128))]
    pub(crate) zone_count: u16,
    /// Load of a simulated fleet while nothing is wrong, affinity groups left out.
    #[arg(long, requires = "simulated", default_value_t = 0.4)]
    pub(crate) load: f64,
    #[command(flatten)]
    pub(crate) environment: EnvironmentArgs,
}

/// Runs the scenario and prints its report.
///
/// # Errors
/// A text where the run could not be done.
pub(crate) async fn run(args: SiteArgs, folder: &Path) -> Result<Outcome, String> {
    if args.simulated {
        return simulated_site::run(&args);
    }
    let mut scenario_run = args.environment.scenario_run(args.scenario, folder)?;
    (scenario_run.max_duration, scenario_run.log_folder) = (args.length, args.logs);
    let mut printed = 0;
    let print_events = |environment: &Environment| {
        for (at, text) in &environment.events[printed..] {
            eprintln!("{:>5.1} s  {text}", *at as f64 / 1e6);
        }
        printed = environment.events.len();
    };
    let report = run_scenario(&scenario_run, print_events, interrupted()).await?;
    if args.json {
        println!("{}", serde_json::to_string(&report).map_err(|error| error.to_string())?);
    } else {
        print_summary(&report);
    }
    Ok(Outcome::from_held(report.violations.is_empty()))
}
