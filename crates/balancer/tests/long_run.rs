//! Long random but legal sequences of events, checked against what must hold whatever the servers do.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use honeyknot_balancer::Balancer;
use honeyknot_balancer::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::*;

/// A request as the rules see it.
struct Open {
    class: usize,
    deadline: Micros,
    sent: u32,
    out: Option<(u32, EndpointId, Micros)>,
    stands: bool,
    may_have_run: bool,
    first_risk: Option<(Option<ZoneId>, Micros)>,
}

struct World {
    rng: Pcg64Mcg,
    now: Micros,
    entries: BTreeMap<EndpointId, Endpoint>,
    told: BTreeMap<EndpointId, Micros>,
    open: BTreeMap<u32, Open>,
    late: BTreeMap<u32, (u32, EndpointId)>,
    timers: BTreeSet<(Micros, u64, u64)>,
    probes: Vec<EndpointId>,
    serial: u64,
    actions: Vec<Action>,
}

fn effects() -> [Idempotency; 3] {
    [
        Idempotency::Idempotent,
        Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: SECOND },
        Idempotency::AtMostOnce,
    ]
}

impl World {
    fn entry(&self, i: u32) -> Endpoint {
        Endpoint { zone: Some(ZoneId((i % 3) as usize)), ..ready(&format!("s{i}:1")) }
    }

    fn list(&self) -> Event {
        full(self.entries.values().cloned().collect())
    }

    /// Checks an action against the rules and takes note of what it starts.
    fn take(&mut self, action: Action) {
        self.actions.push(action.clone());
        match action {
            Action::SetTimer { delay, token } => {
                self.serial += 1;
                self.timers.insert((self.now + delay.max(1), self.serial, token.0));
            }
            Action::CheckHealth(server) => self.probes.push(server),
            Action::Forward { id, endpoint: server, timeout, .. } => {
                let entry = self.entries.get(&server).expect("a server of the list").clone();
                if let Some(told) = self.told.get(&server) {
                    assert!(self.now <= told + SECOND, "a drain is not kept");
                }
                let open = self.open.get_mut(&id.0).expect("a request that is open");
                assert!(open.out.is_none() && !open.stands, "two attempts at once");
                assert!(self.now + timeout <= open.deadline, "an attempt outlasts its deadline");
                if open.may_have_run {
                    match effects()[open.class] {
                        Idempotency::Idempotent => {}
                        Idempotency::IdempotencyKey { window, .. } => {
                            let (zone, since) = open.first_risk.expect("what may have run");
                            assert!(entry.zone == zone && self.now <= since + window, "a repeat astray");
                        }
                        Idempotency::AtMostOnce => panic!("an effect twice"),
                    }
                }
                open.out = Some((open.sent, server, self.now + timeout));
                open.sent += 1;
                assert!(open.sent <= 4, "too many attempts");
            }
            Action::Reject { id, .. } => {
                let open = self.open.remove(&id.0).expect("a refusal of an open request");
                assert!(open.out.is_none() && self.now <= open.deadline + 8_000);
                assert!(
                    !open.may_have_run || effects()[open.class] == Idempotency::Idempotent,
                    "a false refusal"
                );
            }
            Action::Fail(id) => {
                let open = self.open.remove(&id.0).expect("a failure of an open request");
                assert!(open.out.is_none() && self.now <= open.deadline + 8_000);
            }
            Action::Migrate(id) => {
                let open = self.open.remove(&id.0).expect("a move of an open connection");
                assert!(open.stands, "only what stands is moved");
                let (attempt, server, _) = open.out.expect("its attempt");
                self.late.insert(id.0, (attempt, server));
            }
            Action::Watch(_) | Action::Log(_) => {}
            other => panic!("not permitted here: {other:?}"),
        }
    }

    fn handle(&mut self, balancer: &mut Balancer, event: Event) {
        let mut out = Vec::new();
        balancer.handle(self.now, event, &mut out);
        for action in out {
            self.take(action);
        }
    }

    fn outcome(&mut self, balancer: &mut Balancer, id: u32, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some((attempt, server, _)) = open.out.take() else { return };
        let closed = open.stands || outcome == Outcome::Ok;
        if !closed && !outcome.proves_not_run() {
            open.may_have_run = true;
            let zone = self.entries.get(&server).and_then(|e| e.zone);
            open.first_risk.get_or_insert((zone, self.now));
        }
        if closed {
            self.open.remove(&id);
        }
        let event = Event::AttemptEnded {
            id: RequestId(id),
            attempt: AttemptId(attempt),
            outcome,
            closed,
            endpoint: server,
            elapsed: 1_000,
            report: None,
        };
        self.handle(balancer, event);
    }

    /// Everything due by now: time-outs at their time, timers, and no request left past its deadline.
    fn settle(&mut self, balancer: &mut Balancer) {
        let due: Vec<u32> = self
            .open
            .iter()
            .filter(|(_, o)| !o.stands && o.out.as_ref().is_some_and(|(_, _, end)| *end <= self.now))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.outcome(balancer, id, Outcome::Timeout);
        }
        while let Some(&(at, serial, token)) = self.timers.first() {
            if at > self.now {
                break;
            }
            self.timers.remove(&(at, serial, token));
            self.handle(balancer, Event::TimerFired(TimerToken(token)));
        }
        for open in self.open.values() {
            assert!(open.stands || self.now <= open.deadline + 8_000, "a request lost");
        }
    }
}

fn run(seed: u64) -> Vec<Action> {
    let mut settings = Settings { fleet_size: 3, discovery: DiscoveryMode::OnRequest, ..settings() };
    settings.classes = effects().into_iter().map(class).collect();
    let mut balancer = Balancer::new(settings, seed, START).expect("sound settings");
    let mut w = World {
        rng: Pcg64Mcg::seed_from_u64(seed ^ 0xabcd),
        now: START,
        entries: BTreeMap::new(),
        told: BTreeMap::new(),
        open: BTreeMap::new(),
        late: BTreeMap::new(),
        timers: BTreeSet::new(),
        probes: Vec::new(),
        serial: 0,
        actions: Vec::new(),
    };
    w.entries = (0..8).map(|i| w.entry(i)).map(|e| (e.id.clone(), e)).collect();
    let list = w.list();
    w.handle(&mut balancer, list);
    let adopted = Request { affinity_group: group("g0"), ..request(1_000_000) };
    w.open.insert(
        1_000_000,
        Open {
            class: 0,
            deadline: Micros::MAX - SECOND,
            sent: 1,
            out: Some((0, sid("s0:1"), Micros::MAX)),
            stands: true,
            may_have_run: false,
            first_risk: None,
        },
    );
    w.handle(&mut balancer, Event::ConnectionAdopted(adopted, sid("s0:1")));
    for step in 0..6_000u32 {
        w.now += w.rng.random_range(0..6_000);
        w.settle(&mut balancer);
        let pick = |w: &mut World, stands: bool| -> Option<u32> {
            let ids: Vec<u32> = w
                .open
                .iter()
                .filter(|(_, o)| o.stands == stands && o.out.is_some())
                .map(|(id, _)| *id)
                .collect();
            (!ids.is_empty()).then(|| ids[w.rng.random_range(0..ids.len())])
        };
        match w.rng.random_range(0..100) {
            0..=24 => {
                let class = w.rng.random_range(0..3);
                let left = w.rng.random_range(1..2_000_000);
                let request = Request {
                    class: ClassId(class),
                    session_key: Some(SessionKey(Arc::from(format!("k{}", w.rng.random_range(0..200))))),
                    affinity_group: group(&format!("g{}", w.rng.random_range(0..5))),
                    time_remaining: left,
                    mid_flow: w.rng.random_range(0..10) == 0,
                    allowed_zones: ZoneSet::ALL,
                    reconnecting: w.rng.random_range(0..5) == 0,
                    ..request(step)
                };
                let deadline = w.now + left;
                let fresh = Open {
                    class,
                    deadline,
                    sent: 0,
                    out: None,
                    stands: false,
                    may_have_run: false,
                    first_risk: None,
                };
                w.open.insert(step, fresh);
                w.handle(&mut balancer, Event::Request(request));
            }
            25..=49 => {
                if let Some(id) = pick(&mut w, false) {
                    let open = w.open.get_mut(&id).expect("picked");
                    open.stands = true;
                    let (attempt, server, _) = open.out.clone().expect("out");
                    let event = Event::ConnectionEstablished {
                        id: RequestId(id),
                        attempt: AttemptId(attempt),
                        endpoint: server,
                        elapsed: 500,
                    };
                    w.handle(&mut balancer, event);
                }
            }
            50..=64 => {
                let outcomes = [
                    Outcome::Ok,
                    Outcome::Error,
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::Cancelled,
                ];
                let outcome = outcomes[w.rng.random_range(0..outcomes.len())];
                let stands = w.rng.random_range(0..2) == 0;
                if let Some(id) = pick(&mut w, stands) {
                    w.outcome(&mut balancer, id, outcome);
                }
            }
            65..=84 => {
                for server in std::mem::take(&mut w.probes) {
                    let outcome =
                        [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Timeout, Outcome::Rejected]
                            [w.rng.random_range(0..5)];
                    let at = w.rng.random_range(0.0..1.3);
                    let report = (outcome == Outcome::Ok).then(|| load(at)).flatten();
                    w.handle(
                        &mut balancer,
                        Event::HealthCheckEnded { endpoint: server, outcome, elapsed: 900, report },
                    );
                }
            }
            85..=87 => {
                let i = w.rng.random_range(0..8);
                let mut entry = w.entry(i);
                let state = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ];
                entry.state = state[w.rng.random_range(0..4)];
                // What is gone does not drain any more.
                if entry.state == EndpointState::Draining && w.told.contains_key(&entry.id) {
                    entry.state = EndpointState::Removed;
                }
                if entry.state == EndpointState::Ready {
                    w.told.remove(&entry.id);
                    entry.started_at = w.now - w.rng.random_range(0..30 * SECOND);
                } else {
                    w.told.entry(entry.id.clone()).or_insert(w.now);
                }
                w.entries.insert(entry.id.clone(), entry.clone());
                w.handle(&mut balancer, delta(vec![entry]));
            }
            88..=90 => w.handle(
                &mut balancer,
                Event::EndpointsUpdated { version: 0, update: EndpointUpdate::Failed },
            ),
            91..=93 => {
                let late = std::mem::take(&mut w.late);
                for (id, (attempt, server)) in late {
                    let event = Event::AttemptEnded {
                        id: RequestId(id),
                        attempt: AttemptId(attempt),
                        outcome: Outcome::Cancelled,
                        closed: true,
                        endpoint: server,
                        elapsed: 1,
                        report: None,
                    };
                    w.handle(&mut balancer, event);
                }
            }
            94..=96 => {
                if let Some(id) = pick(&mut w, true) {
                    let (attempt, server, _) = w.open[&id].out.clone().expect("out");
                    let note = if w.rng.random_range(0..2) == 0 {
                        ConnectionUpdate::Load(9_000.0)
                    } else {
                        ConnectionUpdate::MessageLatency(300.0)
                    };
                    let event = Event::ConnectionUpdated {
                        id: RequestId(id),
                        attempt: AttemptId(attempt),
                        endpoint: server,
                        update: note,
                    };
                    w.handle(&mut balancer, event);
                }
            }
            _ => {
                if let Some(id) = pick(&mut w, false) {
                    let open = w.open.remove(&id).expect("picked");
                    let (attempt, server, _) = open.out.expect("out");
                    w.handle(&mut balancer, Event::ClientLeft(RequestId(id)));
                    w.late.insert(id, (attempt, server));
                }
            }
        }
    }
    w.actions
}

#[test]
fn the_rules_hold_over_long_random_runs() {
    for seed in 0..12 {
        let actions = run(seed);
        let placed = actions.iter().filter(|a| matches!(a, Action::Forward { .. })).count();
        assert!(placed > 150, "seed {seed}: {placed} placed");
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run(99), run(99));
}
