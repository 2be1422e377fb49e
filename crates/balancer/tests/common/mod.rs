//! A balancer under test with its timers, and settings and messages to feed it.
#![allow(dead_code)] // each test file uses a part

use std::collections::BTreeMap;
use std::sync::Arc;

use honeyknot_balancer::Balancer;
use honeyknot_balancer::interface::*;

pub const SECOND: Micros = 1_000_000;
pub const START: Micros = 1_000 * SECOND;

pub fn class(effect: Effect) -> Class {
    Class {
        aim: SECOND / 2,
        aim_stretch: 0.0,
        deadline: 2 * SECOND,
        effect,
        late_share: 0.0,
        stream: true,
        worth: 1.0,
        message_aim: 100_000,
    }
}

pub fn settings() -> Settings {
    Settings {
        fleet_size: 1,
        index: 0,
        zone: None,
        classes: vec![class(Effect::Idempotent)],
        tenants: Vec::new(),
        over_share_worth: 0.1,
        worth_by_work: false,
        marks_retry: false,
        discovery: Discovery::Pushed,
        reports: ReportSource::Probes,
        weights: Weights::Nominal,
        mode: ForwardMode::Pass,
        park: 5 * SECOND,
        groups: true,
        tells_load: true,
        tells_delay: true,
        tick: 2_000,
        homing: true,
        permissions: Permissions {
            cancel: true,
            peers: false,
            probes: true,
            retry_after: true,
            second_copies: false,
            max_attempts: 4,
            max_open: 10_000,
            max_retry_after: SECOND,
            multiplex: 1,
            idle_close: 10 * SECOND,
            connect_timeout: SECOND / 4,
            cpu_per_request: 0.0,
            cpu_per_second: 0.0,
        },
        rules: Rules {
            answer_grace: 8_000,
            must_ask_in: 10 * SECOND,
            start_capacity: 0.2,
            cold: 20 * SECOND,
            drain_grace: SECOND,
            overload_factor: 3.0,
            fall: 2 * SECOND,
        },
        goal: Goal { whole: 1.0, ..Goal::default() },
        prices: Prices::default(),
    }
}

pub fn sid(name: &str) -> ServerId {
    ServerId(Arc::from(name))
}

pub fn ready(name: &str) -> ServerEntry {
    ServerEntry {
        server: sid(name),
        kind: None,
        weight: 1.0,
        started: 0,
        zone: None,
        cell: CellId(0),
        state: ServerState::Ready,
    }
}

pub fn draining(name: &str) -> ServerEntry {
    ServerEntry { state: ServerState::Draining, ..ready(name) }
}

pub fn delta(entries: Vec<ServerEntry>) -> Event {
    Event::Servers { version: 1, update: ListUpdate::Delta(Arc::new(entries)) }
}

pub fn full(entries: Vec<ServerEntry>) -> Event {
    Event::Servers { version: 1, update: ListUpdate::Full(Arc::new(entries)) }
}

pub fn request(id: u32) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        key: Some(ClientKey(Arc::from(format!("client-{id}")))),
        group: None,
        tenant: None,
        hint: None,
        time_left: 2 * SECOND,
        returning: false,
        retry: false,
        mid_flow: false,
        reach: Reach::EVERYWHERE,
    }
}

pub fn group(name: &str) -> Option<GroupKey> {
    Some(GroupKey(Arc::from(name)))
}

pub fn load(load: f64) -> Option<LoadReport> {
    Some(LoadReport { load: Some(load), inflight: Some(load * 50.0), ..LoadReport::default() })
}

/// A balancer, the time, its timers and the loads that its servers report to probes.
pub struct Bench {
    pub balancer: Balancer,
    pub now: Micros,
    pub loads: BTreeMap<ServerId, Option<f64>>,
    /// Every action with its time, probes and timers left out.
    pub done: Vec<(Micros, Action)>,
    pub probes: usize,
    /// This server answers probes with errors.
    pub errs: Option<ServerId>,
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
                Action::Timer { delay, token } => {
                    self.serial += 1;
                    self.timers.insert((self.now + delay.max(1), self.serial), token);
                }
                Action::Probe(server) => {
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
                    self.feed(Event::Probed { server, outcome, elapsed: 1_000, report });
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
            self.feed(Event::Timer(token));
        }
        self.now = end;
    }

    /// Where the request's last attempt went.
    pub fn placed(&self, id: u32) -> Option<ServerId> {
        self.done.iter().rev().find_map(|(_, action)| match action {
            Action::Place { id: of, server, .. } if of.0 == id => Some(server.clone()),
            _ => None,
        })
    }

    /// Asks for a connection; the one that comes out of it stands.
    pub fn connect(&mut self, request: Request) -> ServerId {
        let id = request.id;
        self.feed(Event::Request(request));
        self.pass(50_000);
        let server = self.placed(id.0).expect("a placement");
        self.feed(Event::Established { id, attempt: AttemptId(0), server: server.clone(), elapsed: 5_000 });
        server
    }

    /// Ends the latest attempt of a request; `attempt` is its number.
    pub fn end(&mut self, id: u32, attempt: u32, outcome: Outcome, closed: bool) {
        let server = self.placed(id).expect("an attempt");
        self.feed(Event::Outcome {
            id: RequestId(id),
            attempt: AttemptId(attempt),
            outcome,
            closed,
            server,
            elapsed: 10_000,
            report: None,
        });
    }

    pub fn places(&self, id: u32) -> usize {
        self.done.iter().filter(|(_, a)| matches!(a, Action::Place { id: of, .. } if of.0 == id)).count()
    }

    pub fn refused(&self, id: u32) -> bool {
        self.done.iter().any(|(_, a)| matches!(a, Action::Refuse { id: of, .. } if of.0 == id))
    }

    pub fn failed(&self, id: u32) -> bool {
        self.done.iter().any(|(_, a)| *a == Action::Fail(RequestId(id)))
    }

    pub fn moved(&self) -> Vec<(Micros, RequestId)> {
        self.done
            .iter()
            .filter_map(|(at, a)| if let Action::Move(id) = a { Some((*at, *id)) } else { None })
            .collect()
    }
}
