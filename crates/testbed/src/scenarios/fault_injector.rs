//! Applies the fault steps of a scenario to an environment and to the relay processes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::process::Child;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::emulators::emulated_endpoint::ProcessState;
use crate::emulators::environment::SharedEnvironment;
use crate::emulators::relay_process::RelayLauncher;
use crate::scenarios::scenario::FaultStep;

/// Seconds from the death of an endpoint until discovery lists it as removed.
const DEATH_DISCOVERY_DELAY_S: Range<f64> = 1.5..5.8;
/// Seconds from the restart of an endpoint until discovery lists it as active.
const RETURN_DISCOVERY_DELAY_S: Range<f64> = 0.4..2.1;
/// Seconds from the death of a relay until the front proxy stops selecting it.
const FRONT_PROXY_DETECTION_DELAY_S: Range<f64> = 1.0..3.8;
/// How long discovery still lists an endpoint that has stopped responding.
const SILENCE_DISCOVERY_DELAY: Duration = Duration::from_secs(11);
/// Time from the publication of a drain until the endpoint begins to drain.
const DRAIN_DELAY: Duration = Duration::from_millis(800);
/// How long an endpoint drains before it stops.
const DRAIN_DURATION: Duration = Duration::from_secs(4);
/// First random number stream of the fault steps; other parts of the environment use other streams.
const RNG_STREAM: u64 = 0x57e9;

/// Injects faults into an environment and owns the relay processes.
pub(super) struct FaultInjector {
    environment: SharedEnvironment,
    launcher: RelayLauncher,
    /// The running relay processes, by relay index.
    relays: RefCell<BTreeMap<usize, Child>>,
}

impl FaultInjector {
    /// Creates a fault injector; no relays are started yet.
    pub(super) fn new(environment: SharedEnvironment, launcher: RelayLauncher) -> FaultInjector {
        FaultInjector { environment, launcher, relays: RefCell::default() }
    }

    /// Starts `count` relays one after another; each must answer before the next one is started.
    ///
    /// # Errors
    /// Returns a message if a relay does not start.
    pub(super) async fn start_relays(&self, count: usize) -> Result<(), String> {
        for relay in 0..count {
            self.start_relay(relay, 0).await?;
        }
        Ok(())
    }

    /// Kills all running relays.
    pub(super) async fn kill_all_relays(&self) {
        let children: Vec<Child> = self.relays.take().into_values().collect();
        for mut child in children {
            let _ = child.kill().await;
        }
    }

    async fn start_relay(&self, relay: usize, incarnation: u32) -> Result<(), String> {
        let child = self.launcher.start(&self.environment, relay, incarnation).await?;
        self.relays.borrow_mut().insert(relay, child);
        self.environment.borrow_mut().front_proxy.set_believed_alive(relay, true);
        Ok(())
    }

    /// Applies one step. Delayed effects, such as updates of the endpoint list, run in background tasks.
    pub(super) async fn apply(self: &Rc<Self>, step: FaultStep) {
        let events = self.environment.borrow().events.len() as u64;
        let mut rng = self.environment.borrow().rng(RNG_STREAM + events);
        match step {
            FaultStep::Kill { zone, survivors } => self.kill_endpoints(zone, survivors, &mut rng),
            FaultStep::Silence(zone) => self.silence_endpoints(zone),
            FaultStep::Return { zone, max_count, in_one_update } => {
                self.return_endpoints(zone, max_count, in_one_update, &mut rng);
            }
            FaultStep::KillRelays(downtime) => self.kill_relays(downtime, &mut rng).await,
            FaultStep::Surge(zone, factor) => self.change_arrival_rate(zone, factor),
            FaultStep::Drain(zone) => self.drain_endpoint(zone),
        }
    }

    fn kill_endpoints(&self, zone: usize, survivors: usize, rng: &mut Pcg64Mcg) {
        let endpoints: Vec<usize> =
            self.environment.borrow().zone_endpoints(zone).into_iter().skip(survivors).collect();
        self.record_event(zone, &format!("{} endpoints die", endpoints.len()));
        self.stop_endpoints(&endpoints, ProcessState::Dead);
        self.publish_later(endpoints, "left", random_delay(rng, DEATH_DISCOVERY_DELAY_S), ProcessState::Dead);
    }

    fn silence_endpoints(&self, zone: usize) {
        let endpoints = self.environment.borrow().zone_endpoints(zone);
        self.record_event(zone, &format!("{} endpoints stop responding", endpoints.len()));
        self.stop_endpoints(&endpoints, ProcessState::Silent);
        self.publish_later(endpoints, "left", SILENCE_DISCOVERY_DELAY, ProcessState::Silent);
    }

    fn return_endpoints(&self, zone: usize, max_count: usize, in_one_update: bool, rng: &mut Pcg64Mcg) {
        let endpoints = self.environment.borrow().zone_endpoints(zone);
        let is_down = |endpoint: &usize| self.process_state(*endpoint) != ProcessState::Serving;
        let endpoints: Vec<usize> = endpoints.into_iter().filter(is_down).take(max_count).collect();
        self.record_event(zone, &format!("{} endpoints restart", endpoints.len()));
        for endpoint in &endpoints {
            self.environment.borrow_mut().restart_endpoint(*endpoint);
        }
        let updates: Vec<Vec<usize>> = match in_one_update {
            true => vec![endpoints],
            false => endpoints.into_iter().map(|endpoint| vec![endpoint]).collect(),
        };
        for update in updates {
            let delay = random_delay(rng, RETURN_DISCOVERY_DELAY_S);
            self.publish_later(update, "active", delay, ProcessState::Serving);
        }
    }

    /// Kills every second relay, including relays of the zone that fails, and restarts them after `downtime`.
    async fn kill_relays(self: &Rc<Self>, downtime: Duration, rng: &mut Pcg64Mcg) {
        let relay_count = self.environment.borrow().size.relays;
        let killed_relays: Vec<usize> = (0..relay_count).filter(|relay| relay % 2 == 0).collect();
        self.environment
            .borrow_mut()
            .record_event(format!("{} of {relay_count} relays are killed", killed_relays.len()));
        for relay in killed_relays {
            let child = self.relays.borrow_mut().remove(&relay);
            self.environment.borrow_mut().relay_kills[relay] += 1;
            if let Some(mut child) = child {
                let _ = child.kill().await;
            }
            let detection_delay = random_delay(rng, FRONT_PROXY_DETECTION_DELAY_S);
            spawn_local(self.clone().restart_relay(relay, downtime, detection_delay));
        }
    }

    async fn restart_relay(self: Rc<Self>, relay: usize, downtime: Duration, detection_delay: Duration) {
        sleep(detection_delay.min(downtime)).await;
        self.environment.borrow_mut().front_proxy.set_believed_alive(relay, false);
        sleep(downtime.saturating_sub(detection_delay)).await;
        let incarnation = self.environment.borrow().relay_kills[relay];
        match self.start_relay(relay, incarnation).await {
            Ok(()) => self.environment.borrow_mut().record_event(format!("relay n{relay} has restarted")),
            Err(error) => self.environment.borrow_mut().record_event(error),
        }
    }

    fn change_arrival_rate(&self, zone: usize, factor: f64) {
        self.record_event(zone, &format!("the rate of new clients is now {factor} times the normal rate"));
        self.environment.borrow_mut().arrival_factor[zone] = factor;
    }

    fn drain_endpoint(&self, zone: usize) {
        let endpoint = self.environment.borrow().zone_endpoints(zone).into_iter().next();
        let Some(endpoint) = endpoint else { return };
        self.record_event(zone, "an endpoint drains");
        self.environment.borrow_mut().publish(&[endpoint], "leaving");
        let environment = self.environment.clone();
        spawn_local(async move {
            sleep(DRAIN_DELAY).await;
            environment.borrow().endpoints[endpoint].draining.send_replace(true);
            sleep(DRAIN_DURATION).await;
            environment.borrow_mut().stop_endpoint(endpoint, ProcessState::Dead);
            environment.borrow_mut().publish(&[endpoint], "left");
        });
    }

    fn record_event(&self, zone: usize, text: &str) {
        let mut environment = self.environment.borrow_mut();
        let event = format!("{}: {text}", environment.size.zones[zone]);
        environment.record_event(event);
    }

    fn process_state(&self, endpoint: usize) -> ProcessState {
        *self.environment.borrow().endpoints[endpoint].process_state.borrow()
    }

    fn stop_endpoints(&self, endpoints: &[usize], process_state: ProcessState) {
        for endpoint in endpoints {
            self.environment.borrow_mut().stop_endpoint(*endpoint, process_state);
        }
    }

    /// After `delay`, publishes `state` for those of the endpoints whose process state is still `expected`.
    fn publish_later(
        &self, endpoints: Vec<usize>, state: &'static str, delay: Duration, expected: ProcessState,
    ) {
        let environment = self.environment.clone();
        spawn_local(async move {
            sleep(delay).await;
            let unchanged: Vec<usize> = endpoints
                .into_iter()
                .filter(|index| *environment.borrow().endpoints[*index].process_state.borrow() == expected)
                .collect();
            if !unchanged.is_empty() {
                environment.borrow_mut().publish(&unchanged, state);
            }
        });
    }
}

fn random_delay(rng: &mut Pcg64Mcg, range_s: Range<f64>) -> Duration {
    Duration::from_secs_f64(rng.random_range(range_s))
}
