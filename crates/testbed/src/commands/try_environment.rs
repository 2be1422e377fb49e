//! `try`: a whole environment to look at while it loses and regains a zone.

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
    /// End by itself after this long; without it, when the scenario is over or at Ctrl-C.
    #[arg(long = "for", value_name = "SPAN", value_parser = parse_duration)]
    length: Option<Duration>,
    #[command(flatten)]
    environment: EnvironmentArgs,
}

/// Runs the environment and draws it until the scenario is over.
///
/// # Errors
/// A text where the run could not be done.
pub(crate) async fn run(args: TryArgs, folder: &Path) -> Result<Outcome, String> {
    let environment = &args.environment;
    let mut scenario_run = environment.scenario_run(Scenario::Show, folder)?;
    scenario_run.max_duration = args.length;
    println!(
        "A world on loopback: 4 zones, {} card servers, {} relays.",
        environment.endpoints, environment.relays
    );
    println!("tema is lost after 4 s and comes back after 10 s. Ctrl-C ends it.");
    let mut view = LiveView::default();
    let report = run_scenario(&scenario_run, |environment| view.show(environment), interrupted()).await?;
    println!();
    print_summary(&report);
    Ok(Outcome::from_held(report.violations.is_empty()))
}
