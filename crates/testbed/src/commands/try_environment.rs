//! `try`: runs an environment and shows its state while a zone fails and recovers.

use std::path::Path;
use std::time::Duration;

use clap::Args;
use honeyknot_testbed::scenarios::run::run_scenario;
use honeyknot_testbed::scenarios::scenario::Scenario;

use super::arguments::{EnvironmentArgs, parse_duration};
use super::live_view::LiveView;
use super::site_report::print_summary;
use super::{Outcome, interrupted};

#[derive(Debug, Args)]
pub(crate) struct TryArgs {
    /// End the run after this time, such as 20s, 500ms or 2m; default: at the end of the scenario or at
    /// Ctrl-C.
    #[arg(long = "for", value_name = "SPAN", value_parser = parse_duration)]
    length: Option<Duration>,
    #[command(flatten)]
    environment: EnvironmentArgs,
}

/// Runs the environment and shows its state until the scenario ends.
///
/// # Errors
/// Returns a message if an argument is invalid or the run fails.
pub(crate) async fn run(args: TryArgs, folder: &Path) -> Result<Outcome, String> {
    let environment = &args.environment;
    let mut scenario_run = environment.scenario_run(Scenario::Show, folder)?;
    scenario_run.max_duration = args.length;
    println!(
        "An environment on loopback: 4 zones, {} endpoints, {} relays.",
        environment.endpoints, environment.relays
    );
    println!("Zone tema fails after 4 s and returns after 10 s. Press Ctrl-C to end the run.");
    let mut view = LiveView::default();
    let report = run_scenario(&scenario_run, |environment| view.show(environment), interrupted()).await?;
    println!();
    print_summary(&report);
    Ok(Outcome::from_passed(report.violations.is_empty()))
}
