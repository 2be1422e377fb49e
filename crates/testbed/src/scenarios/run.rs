//! Plays a scenario on an environment with real relays, and gathers the observations.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use serde::Serialize;
use tokio::process::Child;
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::emulators::environment::{Environment, EnvironmentSize, ProcessState, SharedEnvironment};
use crate::emulators::relay_process::{RelayLauncher, relay_program};
use crate::emulators::{client, discovery, endpoint};
use crate::report::observations::{ClientObservations, EndpointObservations};
use crate::scenarios::scenario::{FaultStep, Scenario};

/// How often the observations are added up.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);
/// The stated limit is on what relays can know: loads that change, and reports that are late, are given this much.
pub const SPILL_SLACK: f64 = 0.03;

/// A scenario and the environment it runs in.
#[derive(Clone, Debug)]
pub struct ScenarioRun {
    /// The environment's size.
    pub size: EnvironmentSize,
    /// What goes wrong.
    pub scenario: Scenario,
    /// Seeds the environment, the clients and the relays.
    pub seed: u64,
    /// The operator file for sites; none where that part is off.
    pub sites_file: Option<PathBuf>,
    /// The spill limit that the operator file states, a part of 1.
    pub spill_limit: f64,
    /// Ends the run earlier.
    pub length: Option<Duration>,
    /// Keeps the relays' logs in this folder.
    pub logs: Option<PathBuf>,
}

/// The run's figures, all counted by clients, endpoints and discovery.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: String,
    /// With this seed.
    pub seed: u64,
    /// The part for sites was on.
    pub sites_on: bool,
    /// Relays and endpoints.
    pub relays: usize,
    /// See `relays`.
    #[serde(rename = "servers")]
    pub endpoints: usize,
    /// What clients have seen.
    #[serde(flatten)]
    pub client_observations: ClientObservations,
    /// What endpoints have seen.
    #[serde(flatten)]
    pub endpoint_observations: EndpointObservations,
    /// The limit on spill that is stated, as a part of a receiving site's capacity.
    pub spill_limit: f64,
    /// Share of wanted connection seconds that were well served.
    pub well_served: f64,
    /// The share that capacity allowed at the most.
    pub ceiling: f64,
    /// The same for clients of the sites that are not lost.
    #[serde(rename = "well_served_others")]
    pub well_served_unaffected: f64,
    /// The rules that were broken; empty if all held.
    pub broken: Vec<String>,
}

impl Report {
    fn new(run: &ScenarioRun, environment: &Environment) -> Report {
        let (clients, endpoints) =
            (environment.client_observations.clone(), environment.endpoint_observations.clone());
        let wanted = endpoints.wanted_s.max(1e-9);
        let mut broken = Vec::new();
        let mut require = |held: bool, rule: String| {
            if !held {
                broken.push(rule);
            }
        };
        require(clients.adds_up(), "every head has exactly one end in the clients' book".into());
        require(clients.unanswered == 0, format!("{} requests without an answer", clients.unanswered));
        require(clients.double_answers == 0, format!("{} second answers", clients.double_answers));
        require(
            clients.connections_cut_off == 0,
            format!("{} sessions cut off without MOVE", clients.connections_cut_off),
        );
        require(
            clients.unanswered_lines == 0,
            format!("{} lines without an answer", clients.unanswered_lines),
        );
        require(
            endpoints.overlapping_attempts == 0,
            format!("{} overlapping attempts", endpoints.overlapping_attempts),
        );
        require(endpoints.max_attempts <= 6, format!("{} attempts of one request", endpoints.max_attempts));
        require(
            endpoints.late_sends_to_draining == 0,
            format!("{} late sends to draining card servers", endpoints.late_sends_to_draining),
        );
        require(
            endpoints.endpoints_collapsed == 0,
            format!("{} cold card servers fell over", endpoints.endpoints_collapsed),
        );
        require(
            endpoints.worst_return_multiple <= 3.0,
            format!("{:.2} times a returning server's capacity", endpoints.worst_return_multiple),
        );
        if run.sites_file.is_some() {
            let limit = run.spill_limit + SPILL_SLACK;
            require(
                endpoints.worst_spill <= limit,
                format!("spill of {:.3} at {}", endpoints.worst_spill, endpoints.worst_spill_site),
            );
        }
        Report {
            scenario: format!("{:?}", run.scenario).to_lowercase(),
            seed: run.seed,
            sites_on: run.sites_file.is_some(),
            relays: environment.size.relays,
            endpoints: environment.size.endpoints,
            spill_limit: run.spill_limit,
            well_served: endpoints.well_served_s / wanted,
            well_served_unaffected: endpoints.unaffected_well_served_s
                / endpoints.unaffected_wanted_s.max(1e-9),
            ceiling: endpoints.allowed_s / wanted,
            client_observations: clients,
            endpoint_observations: endpoints,
            broken,
        }
    }
}

/// The relays' processes by number; one that is killed is missing.
type Relays = Rc<RefCell<BTreeMap<usize, Child>>>;

/// Plays a run; `watch` is called about four times a second with the environment. `stop` ends it early.
pub async fn run_scenario(
    run: &ScenarioRun, mut on_observed: impl FnMut(&Environment), stop: impl Future<Output = ()>,
) -> Result<Report, String> {
    let program = relay_program()?;
    let folder = tempfile::tempdir().map_err(|e| format!("no folder for the relays' files: {e}"))?;
    let environment = Environment::new(run.size.clone(), run.seed);
    let log_folder = run.logs.clone().unwrap_or_else(|| folder.path().to_owned());
    std::fs::create_dir_all(&log_folder).map_err(|e| format!("{}: {e}", log_folder.display()))?;
    let launcher = Rc::new(RelayLauncher::new(&environment, program, &log_folder, run.sites_file.clone()));
    for index in 0..run.size.endpoints {
        endpoint::start(&environment, index);
    }
    for relay in 0..run.size.relays {
        let served = discovery::serve(environment.clone(), relay).await;
        served.map_err(|e| format!("the roll at {}: {e}", environment.borrow().discovery_address(relay)))?;
    }
    let relays: Relays = Rc::default();
    for relay in 0..run.size.relays {
        let child = launcher.start(&environment, relay, 0).await?;
        relays.borrow_mut().insert(relay, child);
        environment.borrow_mut().front_proxy.set_believed_alive(relay, true);
    }
    for site in 0..run.size.sites.len() {
        spawn_local(client::generate_clients(environment.clone(), site));
    }
    let (steps, length) = run.scenario.steps();
    environment
        .borrow_mut()
        .unaffected_sites
        .retain(|site| !steps.iter().any(|(_, step)| step.kills_endpoints_of(*site)));
    let began = Instant::now();
    let length = run.length.map_or(length, |max_length| length.min(max_length));
    {
        let (environment, relays, launcher) = (environment.clone(), relays.clone(), launcher.clone());
        spawn_local(async move {
            for (at, step) in steps {
                sleep_until(began + at).await;
                apply(&environment, &relays, &launcher, step).await;
            }
        });
    }
    let mut ticks = interval(OBSERVATION_INTERVAL);
    let mut last = Instant::now();
    tokio::pin!(stop);
    let stopped = loop {
        tokio::select! {
            _ = ticks.tick() => {
                let passed = last.elapsed();
                last = Instant::now();
                environment.borrow_mut().observe(passed);
                on_observed(&environment.borrow());
                if began.elapsed() >= length {
                    break false;
                }
            }
            () = &mut stop => break true,
        }
    };
    // Answers that are still owed come before the relays end.
    environment.borrow_mut().closing = true;
    sleep(Duration::from_millis(if stopped { 100 } else { 1_600 })).await;
    let collapsed = environment.borrow().collapsed();
    environment.borrow_mut().endpoint_observations.endpoints_collapsed += collapsed;
    let report = Report::new(run, &environment.borrow());
    let children: Vec<Child> = std::mem::take(&mut *relays.borrow_mut()).into_values().collect();
    for mut child in children {
        let _ = child.kill().await;
    }
    Ok(report)
}

async fn apply(
    environment: &SharedEnvironment, relays: &Relays, launcher: &Rc<RelayLauncher>, step: FaultStep,
) {
    let mut rng = environment.borrow().rng(0x57e9 + environment.borrow().events.len() as u64);
    let mut random_delay = |min_s: f64, max_s: f64| Duration::from_secs_f64(rng.random_range(min_s..max_s));
    match step {
        FaultStep::Kill { site, survivors } => {
            let name = environment.borrow().size.sites[site].clone();
            let endpoints: Vec<usize> =
                environment.borrow().site_endpoints(site).into_iter().skip(survivors).collect();
            environment.borrow_mut().event(format!("{name}: {} card servers die", endpoints.len()));
            for endpoint in &endpoints {
                environment.borrow_mut().end(*endpoint, ProcessState::Dead);
            }
            publish_later(environment, endpoints, "left", random_delay(1.5, 5.8), ProcessState::Dead);
        }
        FaultStep::Silence(site) => {
            let name = environment.borrow().size.sites[site].clone();
            let endpoints = environment.borrow().site_endpoints(site);
            environment.borrow_mut().event(format!("{name}: {} card servers fall silent", endpoints.len()));
            for endpoint in &endpoints {
                environment.borrow_mut().end(*endpoint, ProcessState::Silent);
            }
            publish_later(environment, endpoints, "left", Duration::from_secs(11), ProcessState::Silent);
        }
        FaultStep::Return { site, max_count, in_one_update } => {
            let name = environment.borrow().size.sites[site].clone();
            let down = |endpoint: &usize| {
                *environment.borrow().endpoints[*endpoint].process_state.borrow() != ProcessState::Serving
            };
            let endpoints = environment.borrow().site_endpoints(site);
            let endpoints: Vec<usize> = endpoints.into_iter().filter(down).take(max_count).collect();
            environment.borrow_mut().event(format!("{name}: {} card servers come back", endpoints.len()));
            for endpoint in &endpoints {
                environment.borrow_mut().restart(*endpoint);
            }
            if in_one_update {
                publish_later(
                    environment,
                    endpoints,
                    "active",
                    random_delay(0.4, 2.1),
                    ProcessState::Serving,
                );
            } else {
                for endpoint in endpoints {
                    publish_later(
                        environment,
                        vec![endpoint],
                        "active",
                        random_delay(0.4, 2.1),
                        ProcessState::Serving,
                    );
                }
            }
        }
        FaultStep::KillRelays(back) => {
            let all = environment.borrow().size.relays;
            // The lost site's own relay is among them.
            let victims: Vec<usize> = (0..all).filter(|r| r % 2 == 0).collect();
            environment.borrow_mut().event(format!("{} of {all} relays are killed", victims.len()));
            for relay in victims {
                let child = relays.borrow_mut().remove(&relay);
                environment.borrow_mut().relay_kills[relay] += 1;
                if let Some(mut child) = child {
                    let _ = child.kill().await;
                }
                let (environment, relays, launcher) = (environment.clone(), relays.clone(), launcher.clone());
                let notices = random_delay(1.0, 3.8);
                spawn_local(async move {
                    sleep(notices.min(back)).await;
                    environment.borrow_mut().front_proxy.set_believed_alive(relay, false);
                    sleep(back.saturating_sub(notices)).await;
                    let incarnation = environment.borrow().relay_kills[relay];
                    match launcher.start(&environment, relay, incarnation).await {
                        Ok(child) => {
                            relays.borrow_mut().insert(relay, child);
                            environment.borrow_mut().front_proxy.set_believed_alive(relay, true);
                            environment.borrow_mut().event(format!("relay n{relay} is back"));
                        }
                        Err(why) => environment.borrow_mut().event(why),
                    }
                });
            }
        }
        FaultStep::Surge(site, factor) => {
            let mut environment = environment.borrow_mut();
            let name = environment.size.sites[site].clone();
            environment.event(format!("{name}: traffic is {factor} times the usual"));
            environment.arrival_factor[site] = factor;
        }
        FaultStep::Drain(site) => {
            let endpoint = environment.borrow().site_endpoints(site).into_iter().next();
            let Some(endpoint) = endpoint else { return };
            let name = environment.borrow().size.sites[site].clone();
            environment.borrow_mut().event(format!("{name}: a card server drains"));
            environment.borrow_mut().publish(&[endpoint], "leaving");
            let environment = environment.clone();
            spawn_local(async move {
                sleep(Duration::from_millis(800)).await;
                environment.borrow().endpoints[endpoint].draining.send_replace(true);
                sleep(Duration::from_secs(4)).await;
                environment.borrow_mut().end(endpoint, ProcessState::Dead);
                environment.borrow_mut().publish(&[endpoint], "left");
            });
        }
    }
}

/// Discovery learns of endpoints after a while, if they are still as they were.
fn publish_later(
    environment: &SharedEnvironment, endpoints: Vec<usize>, state: &'static str, after: Duration,
    life: ProcessState,
) {
    let environment = environment.clone();
    spawn_local(async move {
        sleep(after).await;
        let still: Vec<usize> = endpoints
            .into_iter()
            .filter(|c| *environment.borrow().endpoints[*c].process_state.borrow() == life)
            .collect();
        if !still.is_empty() {
            environment.borrow_mut().publish(&still, state);
        }
    });
}
