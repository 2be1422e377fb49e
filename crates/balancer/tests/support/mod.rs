//! Test harness: a balancer with a virtual clock and timers, and helpers that build settings and events.
#![allow(dead_code)] // no test file uses all helpers

use std::collections::BTreeMap;
use std::sync::Arc;

use honeyknot_balancer::Balancer;
use honeyknot_balancer::*;

pub const SECOND: Micros = 1_000_000;
pub const START: Micros = 1_000 * SECOND;

pub fn request_class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: SECOND / 2,
        latency_objective_stretch: 0.0,
        deadline: 2 * SECOND,
        idempotency,
        late_value_fraction: 0.0,
        stream: true,
        priority_weight: 1.0,
        message_latency_objective: 100_000,
    }
}

pub fn settings() -> Settings {
    Settings {
        fleet_size: 1,
        fleet_index: 0,
        zone: None,
        classes: vec![request_class(Idempotency::Idempotent)],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        weight_by_work: false,
        clients_mark_retries: false,
        discovery: DiscoveryMode::Pushed,
        load_reports: LoadReportSource::HealthChecks,
        weights: WeightSemantics::Nominal,
        forward_mode: ForwardMode::PassThrough,
        endpoint_idle_timeout: 5 * SECOND,
        affinity_groups: true,
        reports_connection_load: true,
        reports_message_latency: true,
        event_interval: 2_000,
        rebalancing: true,
        permissions: Permissions {
            cancel: true,
            peer_messages: false,
            health_checks: true,
            retry_after: true,
            hedged_requests: false,
            max_attempts: 4,
            max_open_requests: 10_000,
            max_retry_after: SECOND,
            max_streams_per_connection: 1,
            idle_timeout: 10 * SECOND,
            connect_timeout: SECOND / 4,
            cpu_per_request: 0.0,
            cpu_per_second: 0.0,
        },
        rules: Rules {
            answer_grace: 8_000,
            max_list_age: 10 * SECOND,
            initial_capacity: 0.2,
            slow_start_duration: 20 * SECOND,
            drain_grace: SECOND,
            overload_factor: 3.0,
            overload_duration: 2 * SECOND,
        },
        objective_weights: ObjectiveWeights { overall: 1.0, ..ObjectiveWeights::default() },
        prices: Prices::default(),
    }
}

pub fn endpoint_id(name: &str) -> EndpointId {
    EndpointId(Arc::from(name))
}

pub fn ready_endpoint(name: &str) -> Endpoint {
    Endpoint {
        id: endpoint_id(name),
        machine_type: None,
        weight: 1.0,
        started_at: 0,
        zone: None,
        cell: CellId(0),
        state: EndpointState::Ready,
    }
}

pub fn draining_endpoint(name: &str) -> Endpoint {
    Endpoint { state: EndpointState::Draining, ..ready_endpoint(name) }
}

pub fn delta_update(entries: Vec<Endpoint>) -> Event {
    Event::EndpointsUpdated { version: 1, update: EndpointUpdate::Delta(Arc::new(entries)) }
}

pub fn full_update(entries: Vec<Endpoint>) -> Event {
    Event::EndpointsUpdated { version: 1, update: EndpointUpdate::Full(Arc::new(entries)) }
}

pub fn request(id: u32) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        session_key: Some(SessionKey(Arc::from(format!("client-{id}")))),
        affinity_group: None,
        tenant: None,
        expected_load: None,
        time_remaining: 2 * SECOND,
        reconnecting: false,
        retry: false,
        mid_flow: false,
        allowed_zones: ZoneSet::ALL,
    }
}

pub fn affinity_group(name: &str) -> Option<AffinityGroup> {
    Some(AffinityGroup(Arc::from(name)))
}

pub fn load_report(load: f64) -> Option<LoadReport> {
    Some(LoadReport { load: Some(load), inflight: Some(load * 50.0), ..LoadReport::default() })
}

/// A balancer with a virtual clock, its timers, and the loads that endpoints report to its health checks.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Micros,
    /// Load that each endpoint reports to health checks. For `None`, its health checks time out.
    pub reported_loads: BTreeMap<EndpointId, Option<f64>>,
    /// All actions except health checks and timers, with the time of each.
    pub actions: Vec<(Micros, Action)>,
    pub health_check_count: usize,
    /// Endpoint that answers health checks with errors; `None` if there is none.
    pub endpoint_with_errors: Option<EndpointId>,
    /// Whether load reports omit the number of connections in flight.
    pub omits_inflight: bool,
    /// Pending timers by due time and serial number.
    timers: BTreeMap<(Micros, u64), TimerToken>,
    timer_serial: u64,
}

impl Harness {
    /// Creates a balancer with endpoints and their reported loads. With `None`, health checks of it time out.
    pub fn new(settings: Settings, seed: u64, endpoints: &[(&str, Option<f64>)]) -> Harness {
        let balancer = Balancer::new(settings, seed, START).expect("valid settings");
        let mut harness = Harness {
            balancer,
            now: START,
            reported_loads: BTreeMap::new(),
            actions: Vec::new(),
            health_check_count: 0,
            endpoint_with_errors: None,
            omits_inflight: false,
            timers: BTreeMap::new(),
            timer_serial: 0,
        };
        for (name, load) in endpoints {
            harness.reported_loads.insert(endpoint_id(name), *load);
        }
        harness.handle(full_update(endpoints.iter().map(|(name, _)| ready_endpoint(name)).collect()));
        harness
    }

    /// Handles an event. Health checks are answered or time out at the same time.
    pub fn handle(&mut self, event: Event) {
        let mut new_actions = Vec::new();
        self.balancer.handle(self.now, event, &mut new_actions);
        for action in new_actions {
            match action {
                Action::SetTimer { delay, token } => {
                    self.timer_serial += 1;
                    self.timers.insert((self.now + delay.max(1), self.timer_serial), token);
                }
                Action::CheckHealth(endpoint) => {
                    self.health_check_count += 1;
                    let has_errors = self.endpoint_with_errors.as_ref() == Some(&endpoint);
                    let report = self
                        .reported_loads
                        .get(&endpoint)
                        .copied()
                        .flatten()
                        .filter(|_| !has_errors)
                        .and_then(load_report);
                    let report = report.map(|report| LoadReport {
                        inflight: report.inflight.filter(|_| !self.omits_inflight),
                        ..report
                    });
                    let outcome = match report {
                        _ if has_errors => Outcome::Error,
                        Some(_) => Outcome::Ok,
                        None => Outcome::Timeout,
                    };
                    self.handle(Event::HealthCheckEnded { endpoint, outcome, elapsed: 1_000, report });
                }
                action => self.actions.push((self.now, action)),
            }
        }
    }

    /// Advances the clock and fires the timers that become due.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some((&(due_at, serial), &token)) = self.timers.first_key_value() {
            if due_at > end {
                break;
            }
            self.timers.remove(&(due_at, serial));
            self.now = due_at;
            self.handle(Event::TimerFired(token));
        }
        self.now = end;
    }

    /// Returns the endpoint of the request's last attempt; `None` if there was no attempt.
    pub fn last_endpoint(&self, id: u32) -> Option<EndpointId> {
        self.actions.iter().rev().find_map(|(_, action)| match action {
            Action::Forward { id: request_id, endpoint, .. } if request_id.0 == id => Some(endpoint.clone()),
            _ => None,
        })
    }

    /// Requests a connection, establishes it where it is placed and returns the endpoint.
    pub fn connect(&mut self, request: Request) -> EndpointId {
        let id = request.id;
        self.handle(Event::Request(request));
        self.advance(50_000);
        let endpoint = self.last_endpoint(id.0).expect("the request should be placed");
        self.handle(Event::ConnectionEstablished {
            id,
            attempt: AttemptId(0),
            endpoint: endpoint.clone(),
            elapsed: 5_000,
        });
        endpoint
    }

    /// Ends the last attempt of a request. `attempt` is the number of that attempt.
    pub fn end_attempt(&mut self, id: u32, attempt: u32, outcome: Outcome, closed: bool) {
        let endpoint = self.last_endpoint(id).expect("the request should have an attempt");
        self.handle(Event::AttemptEnded {
            id: RequestId(id),
            attempt: AttemptId(attempt),
            outcome,
            closed,
            endpoint,
            elapsed: 10_000,
            report: None,
        });
    }

    pub fn attempt_count(&self, id: u32) -> usize {
        self.actions
            .iter()
            .filter(
                |(_, action)| matches!(action, Action::Forward { id: request_id, .. } if request_id.0 == id),
            )
            .count()
    }

    pub fn is_rejected(&self, id: u32) -> bool {
        self.actions
            .iter()
            .any(|(_, action)| matches!(action, Action::Reject { id: request_id, .. } if request_id.0 == id))
    }

    pub fn is_failed(&self, id: u32) -> bool {
        self.actions.iter().any(|(_, action)| *action == Action::Fail(RequestId(id)))
    }

    /// Returns the migrated connections, with the time of each migration.
    pub fn migrations(&self) -> Vec<(Micros, RequestId)> {
        self.actions
            .iter()
            .filter_map(|(at, action)| if let Action::Migrate(id) = action { Some((*at, *id)) } else { None })
            .collect()
    }
}

/// Returns three endpoints that report the same load.
pub fn three_endpoints(load: f64) -> [(&'static str, Option<f64>); 3] {
    [("a:1", Some(load)), ("b:1", Some(load)), ("c:1", Some(load))]
}

/// Returns all balancers of a fleet, each with the same twelve endpoints in four zones that report the same
/// load.
///
/// In a large fleet, each balancer has only one or two connections. Tests use it to check that the balancers
/// do not use two endpoints each for a group, rebalance one connection each in every tick, or mistake a
/// single placement for part of a surge.
pub fn large_fleet(size: u32, load: f64) -> Vec<Harness> {
    let mut settings = Settings { fleet_size: size, zone: Some(ZoneId(0)), ..settings() };
    settings.prices.cross_zone = 0.2;
    let names: Vec<String> = (0..12).map(|i| format!("s{i}:1")).collect();
    let entries = || {
        names
            .iter()
            .enumerate()
            .map(|(i, name)| Endpoint { zone: Some(ZoneId(i % 4)), ..ready_endpoint(name) })
    };
    let endpoints: Vec<(&str, Option<f64>)> = names.iter().map(|name| (name.as_str(), Some(load))).collect();
    let harness = |seed| {
        let mut harness = Harness::new(settings.clone(), seed, &endpoints);
        harness.omits_inflight = true;
        harness.handle(delta_update(entries().collect()));
        harness
    };
    (0..u64::from(size)).map(harness).collect()
}
