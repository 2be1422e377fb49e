//! A service that answers is heard in the end, however late its answers are: after a start, after another service
//! was configured (by a reload, or in the new process of a hot restart), after requests that failed, and at a
//! local agent. Where the notification deadline can be met, it is.

mod simulated_service;

use honeyknot_balancer::Micros;
use honeyknot_discovery::{
    DiscoveryConfig, DiscoveryErrorKind, DiscoveryPoller, DiscoveryRequest, EndpointList, Poll,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use simulated_service::{S, endpoint_list};

const MS: Micros = 1_000;
/// Time from a change to when it counts as notified, in microseconds.
const NOTIFICATION_DEADLINE: Micros = 6 * S;
/// Shortest time for which requests may still be sent to an endpoint after the notification of its drain,
/// including 50 ms for delays of the sockets; in microseconds.
const GRACE: Micros = 300 * MS + 50 * MS;
/// Longest time after which a service rejects a request that waited for its turn, in microseconds.
const MAX_QUEUE_TIME: Micros = 2 * S;
/// Response time for which a pause always leaves time before the deadline, in microseconds.
const MIN_RESPONSE_TIME: Micros = 1_400 * MS;
/// Interval at which endpoints refuse connections, in microseconds.
const REFUSAL_INTERVAL: Micros = 500 * MS;
/// Response time of the service while no other callers crowd it, in microseconds.
const QUICK_TURN: Micros = 2 * MS;

/// A service and its only relay.
#[derive(Clone, Debug)]
struct Scenario {
    config: DiscoveryConfig,
    /// Another service is configured at this time; `None` if the first one stays.
    service_change: Option<Micros>,
    /// Other callers crowd the service from this time on, or from the service change if there is one.
    crowded_from: Micros,
    /// Number of requests to the crowded service that fail, before all others are answered.
    failing: u32,
    /// Time after which these requests fail, in microseconds.
    fail_after: Micros,
    error: DiscoveryErrorKind,
    /// Time that each later request waits for its turn, in microseconds.
    turn: Micros,
    /// Time that a watch without a change waits for another turn after its wait, in microseconds.
    turn_after_wait: Micros,
    change: Micros,
    /// Whether endpoints refuse connections all the time that the service is crowded.
    endpoints_refuse: bool,
    length: Micros,
}

/// When the relay received the change, and when the last request that failed at the service began.
#[derive(Debug)]
struct Outcome {
    received_at: Option<Micros>,
    last_failure_from: Micros,
}

/// How a request ends, if it is not abandoned before.
struct Response {
    at: Micros,
    result: Result<(), DiscoveryErrorKind>,
}

impl Scenario {
    fn version(&self, at: Micros) -> u64 {
        if at >= self.change { 2 } else { 1 }
    }

    fn is_crowded(&self, now: Micros) -> bool {
        now >= self.service_change.unwrap_or(self.crowded_from)
    }

    /// Returns how a request made now ends.
    fn respond(&self, now: Micros, request: DiscoveryRequest, failed: &mut u32) -> Response {
        let is_crowded = self.is_crowded(now);
        if is_crowded && *failed < self.failing {
            *failed += 1;
            return Response { at: now + self.fail_after, result: Err(self.error) };
        }
        let turn_at = now + if is_crowded { self.turn } else { QUICK_TURN };
        let at = match request {
            DiscoveryRequest::Watch { since_version, max_wait } if since_version >= self.version(turn_at) => {
                let wait_ends_at = turn_at + max_wait + if is_crowded { self.turn_after_wait } else { 0 };
                if self.change > turn_at { self.change.min(wait_ends_at) } else { wait_ends_at }
            }
            _ => turn_at,
        };
        Response { at, result: Ok(()) }
    }

    /// Returns when refused connections end the request in flight, if they do so before `until`.
    fn refused_at(&self, poller: &mut DiscoveryPoller, from: Micros, until: Micros) -> Option<Micros> {
        let first = from.next_multiple_of(REFUSAL_INTERVAL);
        let refusals = (first..until).step_by(REFUSAL_INTERVAL as usize);
        let mut refusals = refusals.filter(|at| self.endpoints_refuse && self.is_crowded(*at));
        refusals.find(|at| poller.connection_refused(*at))
    }

    fn run(&self) -> Outcome {
        let mut poller = DiscoveryPoller::new(self.config, &endpoint_list(1, true, &["s-1"]), 0);
        let mut outcome = Outcome { received_at: None, last_failure_from: 0 };
        let (mut now, mut failed) = (0, 0);
        let mut service_change = self.service_change;
        while now < self.length && outcome.received_at.is_none() {
            let due = poller.next_poll_at().expect("a request is due").max(now);
            if let Some(at) = service_change.take_if(|at| *at <= due) {
                now = at;
                poller.change_service(now);
                continue;
            }
            now = due;
            let Poll { request, timeout } = poller.start_poll(now);
            let failed_before = failed;
            let response = self.respond(now, request, &mut failed);
            if failed > failed_before {
                outcome.last_failure_from = now;
            }
            let ended = response.at.min(now + timeout);
            if let Some(at) = service_change.take_if(|at| *at <= ended) {
                now = at;
                poller.change_service(now);
                continue;
            }
            let refused_at = self.refused_at(&mut poller, now, ended);
            let is_abandoned = response.at > now + timeout || refused_at.is_some();
            now = refused_at.unwrap_or(ended);
            match response.result {
                _ if is_abandoned => poller.poll_failed(now, DiscoveryErrorKind::Timeout),
                Err(error) => poller.poll_failed(now, error),
                Ok(()) => {
                    let full = request == DiscoveryRequest::FullList;
                    let version = self.version(now);
                    let endpoints = match full || version > poller.version() {
                        true => endpoint_list(version, full, &["s-1"]).endpoints,
                        false => Vec::new(),
                    };
                    poller.poll_succeeded(now, EndpointList { version, full, endpoints });
                    outcome.received_at = (now >= self.change).then_some(now);
                }
            }
        }
        outcome
    }
}

fn pull_config(fleet_size: u32, seed: u64) -> DiscoveryConfig {
    DiscoveryConfig { fleet_size, max_list_age: 10 * S, agent_drain_grace: None, seed }
}

fn agent_config(drain_grace: Micros, seed: u64) -> DiscoveryConfig {
    DiscoveryConfig { agent_drain_grace: Some(drain_grace), ..pull_config(6, seed) }
}

/// Draws the crowd of a service that rejects what has waited for [`MAX_QUEUE_TIME`].
fn draw_scenario(config: DiscoveryConfig, rng: &mut Pcg64Mcg) -> Scenario {
    let crowded_from = rng.random_range(0..20 * S);
    let fail_after = rng.random_range(MS..=MAX_QUEUE_TIME);
    // Requests that wait for less than those that are rejected are answered.
    let turn = rng.random_range(QUICK_TURN..fail_after.max(MIN_RESPONSE_TIME));
    Scenario {
        config,
        // A new process of a hot restart configures its service at the start.
        service_change: [None, Some(0), Some(crowded_from)][rng.random_range(0..3)],
        crowded_from,
        failing: rng.random_range(0..6),
        fail_after,
        error: match rng.random() {
            true => DiscoveryErrorKind::Overloaded { retry_after: None },
            false => DiscoveryErrorKind::ConnectionBroken,
        },
        turn,
        turn_after_wait: if rng.random() { turn } else { 0 },
        change: crowded_from + rng.random_range(0..100 * S),
        endpoints_refuse: false,
        length: 200 * S,
    }
}

/// Guards against a crowded service that is never heard again after a reload, because every request is abandoned
/// shortly before its answer.
#[test]
fn crowded_service_after_a_reload_is_heard_before_the_deadline() {
    for seed in 0..1_000 {
        let scenario = Scenario {
            config: pull_config(1, seed),
            service_change: Some(10 * S),
            crowded_from: 10 * S,
            failing: 1,
            fail_after: 2 * S,
            error: DiscoveryErrorKind::Overloaded { retry_after: None },
            turn: 1_700 * MS,
            turn_after_wait: 0,
            change: 15 * S,
            endpoints_refuse: false,
            length: 40 * S,
        };
        let received_at = scenario.run().received_at;
        assert!(
            received_at.is_some_and(|at| at <= scenario.change + NOTIFICATION_DEADLINE),
            "received at {received_at:?} us, seed {seed}"
        );
    }
}

/// Guards against a crowded service that is heard late or never after a start, a reload, a hot restart, or
/// requests that failed.
#[test]
fn change_at_a_crowded_service_is_heard_before_the_deadline() {
    for seed in 0..100_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let fleet_size = [1, 4, 12, 30][rng.random_range(0..4)];
        let scenario = draw_scenario(pull_config(fleet_size, seed), &mut rng);
        let outcome = scenario.run();
        // While requests fail at the service it cannot be reached: the deadline begins with the last of them.
        let from = scenario.change.max(outcome.last_failure_from);
        let deadline = from + NOTIFICATION_DEADLINE + GRACE;
        assert!(
            outcome.received_at.is_some_and(|at| at <= deadline),
            "{outcome:?}, but the deadline is at {deadline} us: {scenario:?}"
        );
    }
}

/// Guards against requests that are abandoned too early for ever at a service that needs longer than any
/// deadline allows, by their timeout or because endpoints refuse connections.
#[test]
fn service_that_answers_later_than_any_deadline_is_heard_in_the_end() {
    for seed in 0..2_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let fleet_size = [1, 4, 30, 300][rng.random_range(0..4)];
        let drawn = draw_scenario(pull_config(fleet_size, seed), &mut rng);
        let turn = rng.random_range(2 * S..20 * S);
        let scenario = Scenario { turn, endpoints_refuse: rng.random(), length: 1_200 * S, ..drawn };
        assert!(scenario.run().received_at.is_some(), "never heard: {scenario:?}");
    }
}

/// Guards against a slow agent that is never heard, because every request is abandoned shortly before its answer.
#[test]
fn change_at_a_slow_agent_is_heard_before_sends_must_stop() {
    for seed in 0..20_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let drain_grace = [100, 200, 300, 500, 800, 2_000][rng.random_range(0..6)] * MS;
        let crowded_from = rng.random_range(0..10 * S);
        let scenario = Scenario {
            config: agent_config(drain_grace, seed),
            service_change: rng.random_bool(0.3).then_some(crowded_from),
            crowded_from,
            failing: 0,
            fail_after: 0,
            error: DiscoveryErrorKind::ConnectionBroken,
            // A request that is lost, a pause and a second request must fit into the drain grace.
            turn: rng.random_range(QUICK_TURN..drain_grace / 10 * 7),
            turn_after_wait: 0,
            // The relay has had some requests in which to learn the response time.
            change: crowded_from + 5 * drain_grace + rng.random_range(0..20 * S),
            endpoints_refuse: false,
            length: 60 * S,
        };
        let received_at = scenario.run().received_at;
        assert!(
            received_at.is_some_and(|at| at <= scenario.change + drain_grace),
            "received at {received_at:?} us: {scenario:?}"
        );
    }
}

/// Guards against an agent that is never heard because it needs longer than the drain grace.
#[test]
fn agent_that_needs_longer_than_the_drain_grace_is_heard_in_the_end() {
    for seed in 0..2_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let drain_grace = [100, 500, 2_000][rng.random_range(0..3)] * MS;
        let drawn = draw_scenario(agent_config(drain_grace, seed), &mut rng);
        let scenario = Scenario { turn: rng.random_range(drain_grace..10 * S), length: 600 * S, ..drawn };
        assert!(scenario.run().received_at.is_some(), "never heard: {scenario:?}");
    }
}
