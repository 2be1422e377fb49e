//! A balancer under test with its timers, and settings and messages to feed it.
#![allow(dead_code)] // each test file uses a part

use std::collections::BTreeMap;
use std::sync::Arc;

use honeyknot_balancer::Balancer;
use honeyknot_balancer::*;

pub const SECOND: Micros = 1_000_000;
pub const START: Micros = 1_000 * SECOND;

pub fn class(effect: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: SECOND / 2,
        latency_objective_stretch: 0.0,
        deadline: 2 * SECOND,
        idempotency: effect,
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
        classes: vec![class(Idempotency::Idempotent)],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        weight_by_work: false,
        clients_mark_retries: false,
        discovery: DiscoveryMode::Pushed,
        load_reports: LoadReportSource::HealthChecks,
        weights: WeightSemantics::Nominal,
        forward_mode: ForwardMode::PassThrough,
        park_timeout: 5 * SECOND,
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

pub fn sid(name: &str) -> EndpointId {
    EndpointId(Arc::from(name))
}

pub fn ready(name: &str) -> Endpoint {
    Endpoint {
        id: sid(name),
        kind: None,
        weight: 1.0,
        started_at: 0,
        zone: None,
        cell: CellId(0),
        state: EndpointState::Ready,
    }
}

pub fn draining(name: &str) -> Endpoint {
    Endpoint { state: EndpointState::Draining, ..ready(name) }
}

pub fn delta(entries: Vec<Endpoint>) -> Event {
    Event::EndpointsUpdated { version: 1, update: EndpointUpdate::Delta(Arc::new(entries)) }
}

pub fn full(entries: Vec<Endpoint>) -> Event {
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

pub fn group(name: &str) -> Option<AffinityGroup> {
    Some(AffinityGroup(Arc::from(name)))
}

pub fn load(load: f64) -> Option<LoadReport> {
    Some(LoadReport { load: Some(load), inflight: Some(load * 50.0), ..LoadReport::default() })
}

/// A balancer, the time, its timers and the loads that its servers report to probes.
pub struct Bench {
    pub balancer: Balancer,
    pub now: Micros,
    pub loads: BTreeMap<EndpointId, Option<f64>>,
    /// Every action with its time, probes and timers left out.
    pub done: Vec<(Micros, Action)>,
    pub probes: usize,
    /// This server answers probes with errors.
    pub errs: Option<EndpointId>,
    /// Reports leave out how many connections are held.
    pub terse: bool,
    timers: BTreeMap<(Micros, u64), TimerToken>,
    serial: u64,
}

impl Bench {
    /// A bench whose servers all report the given load; `None` leaves probes to time out.
    pub fn new(settings: Settings, seed: u64, servers: &[(&str, Option<f64>)]) -> Bench {
        let balancer = Balancer::new(settings, seed, START).expect("sound settings");
        let mut bench = Bench {
            balancer,
            now: START,
            loads: BTreeMap::new(),
            done: Vec::new(),
            probes: 0,
            errs: None,
            terse: false,
            timers: BTreeMap::new(),
            serial: 0,
        };
        for (name, load) in servers {
            bench.loads.insert(sid(name), *load);
        }
        bench.feed(full(servers.iter().map(|(name, _)| ready(name)).collect()));
        bench
    }

    /// Feeds an event; probes are answered at once, or time out, in the same instant.
    pub fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::SetTimer { delay, token } => {
                    self.serial += 1;
                    self.timers.insert((self.now + delay.max(1), self.serial), token);
                }
                Action::CheckHealth(server) => {
                    self.probes += 1;
                    let errs = self.errs.as_ref() == Some(&server);
                    let report = self.loads.get(&server).copied().flatten().filter(|_| !errs).and_then(load);
                    let report =
                        report.map(|r| LoadReport { inflight: r.inflight.filter(|_| !self.terse), ..r });
                    let outcome = match report {
                        _ if errs => Outcome::Error,
                        Some(_) => Outcome::Ok,
                        None => Outcome::Timeout,
                    };
                    self.feed(Event::HealthCheckEnded { endpoint: server, outcome, elapsed: 1_000, report });
                }
                action => self.done.push((self.now, action)),
            }
        }
    }

    /// Lets time pass, timers going off on the way.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some((&(at, serial), &token)) = self.timers.first_key_value() {
            if at > end {
                break;
            }
            self.timers.remove(&(at, serial));
            self.now = at;
            self.feed(Event::TimerFired(token));
        }
        self.now = end;
    }

    /// Where the request's last attempt went.
    pub fn placed(&self, id: u32) -> Option<EndpointId> {
        self.done.iter().rev().find_map(|(_, action)| match action {
            Action::Forward { id: of, endpoint: server, .. } if of.0 == id => Some(server.clone()),
            _ => None,
        })
    }

    /// Asks for a connection; the one that comes out of it stands.
    pub fn connect(&mut self, request: Request) -> EndpointId {
        let id = request.id;
        self.feed(Event::Request(request));
        self.pass(50_000);
        let server = self.placed(id.0).expect("a placement");
        self.feed(Event::ConnectionEstablished {
            id,
            attempt: AttemptId(0),
            endpoint: server.clone(),
            elapsed: 5_000,
        });
        server
    }

    /// Ends the latest attempt of a request; `attempt` is its number.
    pub fn end(&mut self, id: u32, attempt: u32, outcome: Outcome, closed: bool) {
        let server = self.placed(id).expect("an attempt");
        self.feed(Event::AttemptEnded {
            id: RequestId(id),
            attempt: AttemptId(attempt),
            outcome,
            closed,
            endpoint: server,
            elapsed: 10_000,
            report: None,
        });
    }

    pub fn places(&self, id: u32) -> usize {
        self.done.iter().filter(|(_, a)| matches!(a, Action::Forward { id: of, .. } if of.0 == id)).count()
    }

    pub fn refused(&self, id: u32) -> bool {
        self.done.iter().any(|(_, a)| matches!(a, Action::Reject { id: of, .. } if of.0 == id))
    }

    pub fn failed(&self, id: u32) -> bool {
        self.done.iter().any(|(_, a)| *a == Action::Fail(RequestId(id)))
    }

    pub fn moved(&self) -> Vec<(Micros, RequestId)> {
        self.done
            .iter()
            .filter_map(|(at, a)| if let Action::Migrate(id) = a { Some((*at, *id)) } else { None })
            .collect()
    }
}
