//! Long random but valid sequences of events, checked against rules that must always hold.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use honeyknot_balancer::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::*;

const STEPS: u32 = 6_000;
const ENDPOINTS: u32 = 8;
const MAX_ATTEMPTS: u32 = 4;
/// A final answer may arrive this long after the deadline.
const ANSWER_GRACE: Micros = 8_000;
/// New attempts at a draining endpoint must stop within this time.
const DRAIN_GRACE: Micros = SECOND;
/// Id of the connection that is adopted at the start. The ids of requests are the numbers of their steps.
const ADOPTED_CONNECTION: u32 = 1_000_000;

/// An attempt in flight, or an established connection.
#[derive(Clone)]
struct Attempt {
    number: u32,
    endpoint: EndpointId,
    times_out_at: Micros,
}

/// The zone of the first attempt that may have run, and when that became known.
#[derive(Clone, Copy)]
struct PossibleRun {
    zone: Option<ZoneId>,
    known_at: Micros,
}

/// A request that is owed an answer, or an established connection.
struct OpenRequest {
    class: usize,
    deadline: Micros,
    attempts: u32,
    attempt: Option<Attempt>,
    is_established: bool,
    possible_run: Option<PossibleRun>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due_at: Micros,
    serial: u64,
    token: u64,
}

/// Simulated clients, endpoints, discovery and timers of one balancer.
struct Simulation {
    balancer: Balancer,
    rng: Pcg64Mcg,
    now: Micros,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    draining_since: BTreeMap<EndpointId, Micros>,
    requests: BTreeMap<u32, OpenRequest>,
    /// Attempts of finished requests whose outcome has not been reported yet.
    late_attempts: BTreeMap<u32, Attempt>,
    timers: BTreeSet<Timer>,
    /// Endpoints with a health check in flight.
    health_checks: Vec<EndpointId>,
    timer_serial: u64,
    actions: Vec<Action>,
}

fn idempotencies() -> [Idempotency; 3] {
    [
        Idempotency::Idempotent,
        Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: SECOND },
        Idempotency::AtMostOnce,
    ]
}

fn endpoint(index: u32) -> Endpoint {
    Endpoint { zone: Some(ZoneId((index % 3) as usize)), ..ready_endpoint(&format!("s{index}:1")) }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut settings = Settings { fleet_size: 3, discovery: DiscoveryMode::OnRequest, ..settings() };
        settings.classes = idempotencies().into_iter().map(request_class).collect();
        let mut simulation = Simulation {
            balancer: Balancer::new(settings, seed, START).expect("valid settings"),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xabcd),
            now: START,
            endpoints: (0..ENDPOINTS).map(endpoint).map(|endpoint| (endpoint.id.clone(), endpoint)).collect(),
            draining_since: BTreeMap::new(),
            requests: BTreeMap::new(),
            late_attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            health_checks: Vec::new(),
            timer_serial: 0,
            actions: Vec::new(),
        };
        let list = full_update(simulation.endpoints.values().cloned().collect());
        simulation.handle(list);
        simulation.adopt_connection();
        simulation
    }

    fn adopt_connection(&mut self) {
        let endpoint = endpoint_id("s0:1");
        let attempt = Attempt { number: 0, endpoint: endpoint.clone(), times_out_at: Micros::MAX };
        let connection = OpenRequest {
            class: 0,
            deadline: Micros::MAX - SECOND,
            attempts: 1,
            attempt: Some(attempt),
            is_established: true,
            possible_run: None,
        };
        self.requests.insert(ADOPTED_CONNECTION, connection);
        let adopted = Request { affinity_group: affinity_group("g0"), ..request(ADOPTED_CONNECTION) };
        self.handle(Event::ConnectionAdopted(adopted, endpoint));
    }

    /// Passes an event to the balancer, then checks and carries out the resulting actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.actions.push(action.clone());
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SetTimer { delay, token } => {
                self.timer_serial += 1;
                let due_at = self.now + delay.max(1);
                self.timers.insert(Timer { due_at, serial: self.timer_serial, token: token.0 });
            }
            Action::CheckHealth(endpoint) => self.health_checks.push(endpoint),
            Action::Forward { id, endpoint, timeout, .. } => self.forward(id, endpoint, timeout),
            Action::Reject { id, .. } => {
                let request = self.finish(id);
                let is_harmless = request.possible_run.is_none()
                    || idempotencies()[request.class] == Idempotency::Idempotent;
                assert!(is_harmless, "a request was rejected although it may have run");
            }
            Action::Fail(id) => drop(self.finish(id)),
            Action::Migrate(id) => {
                let connection = self.requests.remove(&id.0).expect("a migrated connection should be open");
                assert!(connection.is_established, "a migrated connection should be established");
                self.late_attempts
                    .insert(id.0, connection.attempt.expect("a connection should have an attempt"));
            }
            Action::Watch(_) | Action::Log(_) => {}
            other => panic!("the settings do not permit this action: {other:?}"),
        }
    }

    /// Checks the rules for attempts and starts one.
    fn forward(&mut self, id: RequestId, endpoint: EndpointId, timeout: Micros) {
        let listed = self.endpoints.get(&endpoint).expect("the endpoint should be in the endpoint list");
        if let Some(since) = self.draining_since.get(&endpoint) {
            assert!(
                self.now <= since + DRAIN_GRACE,
                "a request was sent to an endpoint after its drain grace period"
            );
        }
        let request = self.requests.get_mut(&id.0).expect("the request should be open");
        assert!(request.attempt.is_none() && !request.is_established, "a request has two attempts in flight");
        assert!(self.now + timeout <= request.deadline, "the timeout of an attempt is after the deadline");
        if let Some(run) = request.possible_run {
            match idempotencies()[request.class] {
                Idempotency::Idempotent => {}
                Idempotency::IdempotencyKey { window, .. } => {
                    let is_deduplicated = listed.zone == run.zone && self.now <= run.known_at + window;
                    assert!(is_deduplicated, "a retry was sent where it is not deduplicated");
                }
                Idempotency::AtMostOnce => panic!("a request may run twice"),
            }
        }
        let times_out_at = self.now + timeout;
        request.attempt = Some(Attempt { number: request.attempts, endpoint, times_out_at });
        request.attempts += 1;
        assert!(request.attempts <= MAX_ATTEMPTS, "too many attempts");
    }

    /// Closes a request that has received its final answer.
    fn finish(&mut self, id: RequestId) -> OpenRequest {
        let request = self.requests.remove(&id.0).expect("an answered request should be open");
        assert!(request.attempt.is_none() && self.now <= request.deadline + ANSWER_GRACE);
        request
    }

    /// Ends the attempt or the connection of a request if it has one.
    fn end_attempt(&mut self, id: u32, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempt.take() else { return };
        let closed = request.is_established || outcome == Outcome::Ok;
        if !closed && !outcome.proves_not_run() {
            let zone = self.endpoints.get(&attempt.endpoint).and_then(|endpoint| endpoint.zone);
            request.possible_run.get_or_insert(PossibleRun { zone, known_at: self.now });
        }
        if closed {
            self.requests.remove(&id);
        }
        self.handle(attempt_ended(id, attempt, outcome, closed, 1_000));
    }

    /// Handles all timeouts and timers that are due, and checks that every request was answered in time.
    fn handle_due_timers(&mut self) {
        let is_timed_out = |request: &OpenRequest| {
            let attempt = request.attempt.as_ref();
            !request.is_established && attempt.is_some_and(|attempt| attempt.times_out_at <= self.now)
        };
        let timed_out: Vec<u32> =
            self.requests.iter().filter(|(_, request)| is_timed_out(request)).map(|(id, _)| *id).collect();
        for id in timed_out {
            self.end_attempt(id, Outcome::Timeout);
        }
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.due_at <= self.now) {
            self.timers.remove(&timer);
            self.handle(Event::TimerFired(TimerToken(timer.token)));
        }
        for request in self.requests.values() {
            assert!(
                request.is_established || self.now <= request.deadline + ANSWER_GRACE,
                "a request was not answered by its deadline"
            );
        }
    }

    /// Draws a random established connection, or a request with an attempt in flight. Returns `None` if there
    /// is none.
    fn draw_request(&mut self, is_established: bool) -> Option<u32> {
        let is_wanted =
            |request: &OpenRequest| request.is_established == is_established && request.attempt.is_some();
        let ids: Vec<u32> =
            self.requests.iter().filter(|(_, request)| is_wanted(request)).map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[self.rng.random_range(0..ids.len())])
    }

    fn step(&mut self, step: u32) {
        self.now += self.rng.random_range(0..6_000);
        self.handle_due_timers();
        match self.rng.random_range(0..100) {
            0..=24 => self.send_request(step),
            25..=49 => self.establish_connection(),
            50..=64 => self.end_random_attempt(),
            65..=84 => self.answer_health_checks(),
            85..=87 => self.change_endpoint(),
            88..=90 => {
                self.handle(Event::EndpointsUpdated { version: 0, update: EndpointUpdate::Failed });
            }
            91..=93 => self.end_late_attempts(),
            94..=96 => self.update_connection(),
            _ => self.disconnect_client(),
        }
    }

    fn send_request(&mut self, id: u32) {
        let class = self.rng.random_range(0..3);
        let time_remaining = self.rng.random_range(1..2_000_000);
        let request = Request {
            class: ClassId(class),
            session_key: Some(SessionKey(Arc::from(format!("k{}", self.rng.random_range(0..200))))),
            affinity_group: affinity_group(&format!("g{}", self.rng.random_range(0..5))),
            time_remaining,
            mid_flow: self.rng.random_range(0..10) == 0,
            allowed_zones: ZoneSet::ALL,
            reconnecting: self.rng.random_range(0..5) == 0,
            ..request(id)
        };
        let open = OpenRequest {
            class,
            deadline: self.now + time_remaining,
            attempts: 0,
            attempt: None,
            is_established: false,
            possible_run: None,
        };
        self.requests.insert(id, open);
        self.handle(Event::Request(request));
    }

    fn establish_connection(&mut self) {
        let Some(id) = self.draw_request(false) else { return };
        let request = self.requests.get_mut(&id).expect("a drawn request should be open");
        request.is_established = true;
        let attempt = request.attempt.clone().expect("a drawn request should have an attempt");
        self.handle(Event::ConnectionEstablished {
            id: RequestId(id),
            attempt: AttemptId(attempt.number),
            endpoint: attempt.endpoint,
            elapsed: 500,
        });
    }

    fn end_random_attempt(&mut self) {
        let outcomes = [
            Outcome::Ok,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Cancelled,
        ];
        let outcome = outcomes[self.rng.random_range(0..outcomes.len())];
        let is_established = self.rng.random_range(0..2) == 0;
        if let Some(id) = self.draw_request(is_established) {
            self.end_attempt(id, outcome);
        }
    }

    fn answer_health_checks(&mut self) {
        let outcomes = [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Timeout, Outcome::Rejected];
        for endpoint in std::mem::take(&mut self.health_checks) {
            let outcome = outcomes[self.rng.random_range(0..outcomes.len())];
            let load = self.rng.random_range(0.0..1.3);
            let report = load_report(load).filter(|_| outcome == Outcome::Ok);
            self.handle(Event::HealthCheckEnded { endpoint, outcome, elapsed: 900, report });
        }
    }

    fn change_endpoint(&mut self) {
        let states =
            [EndpointState::Ready, EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
        let mut changed = endpoint(self.rng.random_range(0..ENDPOINTS));
        changed.state = states[self.rng.random_range(0..states.len())];
        let is_leaving = self.draining_since.contains_key(&changed.id);
        if changed.state == EndpointState::Draining && is_leaving {
            changed.state = EndpointState::Removed;
        }
        if changed.state == EndpointState::Ready {
            self.draining_since.remove(&changed.id);
            changed.started_at = self.now - self.rng.random_range(0..30 * SECOND);
        } else {
            self.draining_since.entry(changed.id.clone()).or_insert(self.now);
        }
        self.endpoints.insert(changed.id.clone(), changed.clone());
        self.handle(delta_update(vec![changed]));
    }

    fn end_late_attempts(&mut self) {
        for (id, attempt) in std::mem::take(&mut self.late_attempts) {
            self.handle(attempt_ended(id, attempt, Outcome::Cancelled, true, 1));
        }
    }

    fn update_connection(&mut self) {
        let Some(id) = self.draw_request(true) else { return };
        let attempt = self.requests[&id].attempt.clone().expect("a connection should have an attempt");
        let update = match self.rng.random_range(0..2) {
            0 => ConnectionUpdate::Load(9_000.0),
            _ => ConnectionUpdate::MessageLatency(300.0),
        };
        self.handle(Event::ConnectionUpdated {
            id: RequestId(id),
            attempt: AttemptId(attempt.number),
            endpoint: attempt.endpoint,
            update,
        });
    }

    /// Disconnects a client while its attempt is in flight.
    fn disconnect_client(&mut self) {
        let Some(id) = self.draw_request(false) else { return };
        let request = self.requests.remove(&id).expect("a drawn request should be open");
        self.handle(Event::ClientLeft(RequestId(id)));
        self.late_attempts.insert(id, request.attempt.expect("a drawn request should have an attempt"));
    }
}

fn attempt_ended(id: u32, attempt: Attempt, outcome: Outcome, closed: bool, elapsed: Micros) -> Event {
    Event::AttemptEnded {
        id: RequestId(id),
        attempt: AttemptId(attempt.number),
        outcome,
        closed,
        endpoint: attempt.endpoint,
        elapsed,
        report: None,
    }
}

/// Runs a simulation and returns all actions of the balancer.
fn run(seed: u64) -> Vec<Action> {
    let mut simulation = Simulation::new(seed);
    for step in 0..STEPS {
        simulation.step(step);
    }
    simulation.actions
}

#[test]
fn rules_hold_over_long_random_runs() {
    for seed in 0..12 {
        let actions = run(seed);
        let forwarded = actions.iter().filter(|action| matches!(action, Action::Forward { .. })).count();
        assert!(forwarded > 150, "seed {seed}: only {forwarded} attempts");
    }
}

#[test]
fn same_seed_and_events_give_same_actions() {
    assert_eq!(run(99), run(99));
}
