//! Runs a scenario on an environment with real relays and gathers the observations.

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

/// How often the observations are added up.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);
/// How long the relays go on after the scenario, so that requests in flight are answered.
const ANSWER_TIME: Duration = Duration::from_millis(1_600);
/// The same where the run was stopped early.
const STOPPED_ANSWER_TIME: Duration = Duration::from_millis(100);

/// A scenario and the environment it runs in.
#[derive(Clone, Debug)]
pub struct ScenarioRun {
    /// The environment's size.
    pub size: EnvironmentSize,
    /// What goes wrong.
    pub scenario: Scenario,
    /// Seeds the environment, the clients and the relays.
    pub seed: u64,
    /// The operator file for zones; none where that part is off.
    pub sites_file: Option<PathBuf>,
    /// The spill limit that the operator file states, a part of 1.
    pub spill_limit: f64,
    /// Ends the run earlier.
    pub max_duration: Option<Duration>,
    /// Keeps the relays' logs in this folder.
    pub log_folder: Option<PathBuf>,
}

/// Why the observation of a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    /// The scenario is over.
    Finished,
    /// The caller has stopped it.
    Stopped,
}

/// Runs a scenario; `on_observed` is called with the environment every 250 ms, and `stop` ends the run early.
///
/// # Errors
/// A text where the relay's program is missing, a file cannot be written, an address is taken or a relay does not start.
pub async fn run_scenario(
    run: &ScenarioRun, on_observed: impl FnMut(&Environment), stop: impl Future<Output = ()>,
) -> Result<Report, String> {
    let program = relay_program()?;
    let folder = tempfile::tempdir().map_err(|e| format!("no folder for the relays' files: {e}"))?;
    let environment = Environment::new(run.size.clone(), run.seed);
    let log_folder = run.log_folder.clone().unwrap_or_else(|| folder.path().to_owned());
    std::fs::create_dir_all(&log_folder).map_err(|e| format!("{}: {e}", log_folder.display()))?;
    let launcher = RelayLauncher::new(&environment, program, &log_folder, run.sites_file.clone());
    start_emulators(&environment, &run.size).await?;
    let injector = Rc::new(FaultInjector::new(environment.clone(), launcher));
    injector.start_relays(run.size.relays).await?;
    for zone in 0..run.size.zones.len() {
        spawn_local(client::generate_clients(environment.clone(), zone));
    }
    let (steps, scenario_length) = run.scenario.steps();
    environment
        .borrow_mut()
        .unaffected_zones
        .retain(|zone| !steps.iter().any(|(_, step)| step.kills_endpoints_of(*zone)));
    let began = Instant::now();
    let length = run.max_duration.map_or(scenario_length, |max_duration| scenario_length.min(max_duration));
    spawn_local(inject_faults(injector.clone(), began, steps));
    let end = observe(&environment, began + length, on_observed, stop).await;
    // Answers that are still owed come before the relays end.
    environment.borrow_mut().closing = true;
    sleep(if end == RunEnd::Stopped { STOPPED_ANSWER_TIME } else { ANSWER_TIME }).await;
    let collapsed = environment.borrow().collapsed_endpoints();
    environment.borrow_mut().endpoint_observations.endpoints_collapsed += collapsed;
    let report = Report::new(run, &environment.borrow());
    injector.kill_all_relays().await;
    Ok(report)
}

/// Starts the endpoints' listeners and a discovery address for each relay.
async fn start_emulators(environment: &SharedEnvironment, size: &EnvironmentSize) -> Result<(), String> {
    for index in 0..size.endpoints {
        endpoint::start(environment, index);
    }
    for relay in 0..size.relays {
        let served = discovery::serve(environment.clone(), relay).await;
        served.map_err(|e| format!("the roll at {}: {e}", environment.borrow().discovery_address(relay)))?;
    }
    Ok(())
}

/// Takes each step of a scenario at its time after `began`.
async fn inject_faults(injector: Rc<FaultInjector>, began: Instant, steps: Vec<(Duration, FaultStep)>) {
    for (at, step) in steps {
        sleep_until(began + at).await;
        injector.apply(step).await;
    }
}

/// Adds up the observations until `end`, or until `stop` resolves.
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
                let passed = last.elapsed();
                last = Instant::now();
                environment.borrow_mut().record_observations(passed);
                on_observed(&environment.borrow());
                if Instant::now() >= end {
                    return RunEnd::Finished;
                }
            }
            () = &mut stop => return RunEnd::Stopped,
        }
    }
}
