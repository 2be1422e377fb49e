//! Runs a scenario with real relays in an emulated environment and collects the observations.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::emulators::environment::{Environment, EnvironmentSize, SharedEnvironment};
use crate::emulators::relay_process::{RelayLauncher, relay_program};
use crate::emulators::{client, discovery, endpoint};
use crate::report::site::Report;
use crate::scenarios::fault_injector::FaultInjector;
use crate::scenarios::scenario::{FaultStep, Scenario};

/// Interval at which the observations are updated.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);
/// How long the relays keep running after the scenario, so that requests in flight are still answered.
const FINAL_ANSWER_WAIT: Duration = Duration::from_millis(1_600);
/// How long the relays keep running after a run that was stopped early.
const STOPPED_FINAL_ANSWER_WAIT: Duration = Duration::from_millis(100);

/// A scenario, and the environment in which it runs.
#[derive(Clone, Debug)]
pub struct ScenarioRun {
    /// Size of the environment.
    pub size: EnvironmentSize,
    /// The scenario.
    pub scenario: Scenario,
    /// Random seed of the environment, the clients and the relays.
    pub seed: u64,
    /// Path of the `sites.conf` operator file; `None` if the relays run without zone failover.
    pub sites_file: Option<PathBuf>,
    /// Spill limit of the operator file, as a share (0 to 1) of a receiving zone's capacity.
    pub spill_limit: f64,
    /// Ends the run after this time if the scenario lasts longer; `None` to run the whole scenario.
    pub max_duration: Option<Duration>,
    /// Folder in which the relays' logs are kept; `None` to delete them after the run.
    pub log_folder: Option<PathBuf>,
}

/// Why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    /// The scenario has finished.
    Finished,
    /// The caller stopped the run.
    Stopped,
}

/// Runs a scenario. `on_observed` is called with the environment every 250 ms; the run ends early when `stop`
/// resolves.
///
/// # Errors
/// Returns a message if the relay program is missing, a file cannot be written, an address is already in use
/// or a relay does not start.
pub async fn run_scenario(
    run: &ScenarioRun, on_observed: impl FnMut(&Environment), stop: impl Future<Output = ()>,
) -> Result<Report, String> {
    let program = relay_program()?;
    let folder = tempfile::tempdir()
        .map_err(|e| format!("cannot create a temporary folder for the relays' files: {e}"))?;
    let environment = Environment::new(run.size.clone(), run.seed);
    let log_folder = run.log_folder.clone().unwrap_or_else(|| folder.path().to_owned());
    std::fs::create_dir_all(&log_folder)
        .map_err(|e| format!("cannot create the log folder {}: {e}", log_folder.display()))?;
    let launcher = RelayLauncher::new(&environment, program, &log_folder, run.sites_file.clone());
    start_emulators(&environment, &run.size).await?;
    let injector = Rc::new(FaultInjector::new(environment.clone(), launcher));
    injector.start_relays(run.size.relays).await?;
    for zone in 0..run.size.zones.len() {
        spawn_local(client::generate_clients(environment.clone(), zone));
    }
    let (steps, scenario_duration) = run.scenario.steps();
    environment
        .borrow_mut()
        .unaffected_zones
        .retain(|zone| !steps.iter().any(|(_, step)| step.kills_endpoints_of(*zone)));
    let started_at = Instant::now();
    let duration =
        run.max_duration.map_or(scenario_duration, |max_duration| scenario_duration.min(max_duration));
    spawn_local(inject_faults(injector.clone(), started_at, steps));
    let end = observe(&environment, started_at + duration, on_observed, stop).await;
    // Requests in flight are answered before the relays are killed.
    environment.borrow_mut().closing = true;
    sleep(if end == RunEnd::Stopped { STOPPED_FINAL_ANSWER_WAIT } else { FINAL_ANSWER_WAIT }).await;
    let collapsed = environment.borrow().collapsed_endpoints();
    environment.borrow_mut().endpoint_observations.endpoints_collapsed += collapsed;
    let report = Report::new(run, &environment.borrow());
    injector.kill_all_relays().await;
    Ok(report)
}

/// Starts the listeners of all endpoints, and one discovery listener for each relay.
async fn start_emulators(environment: &SharedEnvironment, size: &EnvironmentSize) -> Result<(), String> {
    for index in 0..size.endpoints {
        endpoint::start(environment, index);
    }
    for relay in 0..size.relays {
        let result = discovery::serve(environment.clone(), relay).await;
        result.map_err(|e| {
            format!("cannot start discovery at {}: {e}", environment.borrow().discovery_address(relay))
        })?;
    }
    Ok(())
}

/// Applies each step of a scenario at its time after `started_at`.
async fn inject_faults(injector: Rc<FaultInjector>, started_at: Instant, steps: Vec<(Duration, FaultStep)>) {
    for (at, step) in steps {
        sleep_until(started_at + at).await;
        injector.apply(step).await;
    }
}

/// Updates the observations at intervals until `end`, or until `stop` resolves.
async fn observe(
    environment: &SharedEnvironment, end: Instant, mut on_observed: impl FnMut(&Environment),
    stop: impl Future<Output = ()>,
) -> RunEnd {
    let mut ticks = interval(OBSERVATION_INTERVAL);
    let mut last = Instant::now();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let elapsed = last.elapsed();
                last = Instant::now();
                environment.borrow_mut().record_observations(elapsed);
                on_observed(&environment.borrow());
                if Instant::now() >= end {
                    return RunEnd::Finished;
                }
            }
            () = &mut stop => return RunEnd::Stopped,
        }
    }
}
