//! One budget of probes over many relays: who asks, what the others know, and what happens when nobody is heard.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use honeyknot_balancer::{LoadReport, Micros, Outcome};
use honeyknot_gossip::{GossipConfig, GossipMember, GossipView, MemberId};
use honeyknot_health_check_budget::{HealthCheckBudget, HealthCheckDecision};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const START: Micros = 1_700_000_000 * S;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 9, (n / 200) as u8, (n % 200) as u8 + 1), 7500))
}

struct Relay {
    neighbors: GossipMember,
    probes: HealthCheckBudget,
    view: GossipView,
}

/// Relays with a sound network between them, card servers that answer at once, and a wish at each relay for each card server
/// every second.
struct Fleet {
    now: Micros,
    relays: BTreeMap<usize, Relay>,
    flying: Vec<(SocketAddr, SocketAddr, Vec<u8>)>,
    cards: u32,
    /// HealthCheckBudget by card server and second.
    asked: BTreeMap<(u32, u64), usize>,
    known: usize,
    unknown: usize,
}

impl Fleet {
    fn new(relays: usize, cards: u32) -> Fleet {
        let plan =
            GossipConfig::read("test", "fleet t\nport 7500\nseed 127.9.0.1:7500\nseed 127.9.0.2:7500\n")
                .expect("a plan");
        let one = |n: usize| {
            let me = MemberId { address: address(n), incarnation: START };
            let neighbors = GossipMember::new(&plan, me, relays, n as u64, START);
            let view = GossipView::alone(START, me.number());
            (n, Relay { neighbors, probes: HealthCheckBudget::new(3, n as u64), view })
        };
        let relays = (0..relays).map(one).collect();
        let (flying, asked) = Default::default();
        Fleet { now: START, relays, flying, cards, asked, known: 0, unknown: 0 }
    }

    fn pass(&mut self, span: Micros, hear: bool) {
        let end = self.now + span;
        while self.now < end {
            self.now += 20 * MS;
            let (now, cards, round) = (self.now, self.cards, (self.now - START) / (20 * MS));
            for (from, to, bytes) in std::mem::take(&mut self.flying).into_iter().filter(|_| hear) {
                let found = self.relays.iter_mut().find(|(n, _)| address(**n) == to);
                let Some((n, relay)) = found else { continue };
                let mut out = Vec::new();
                let _ = relay.neighbors.handle_datagram(now, from, &bytes, &mut out);
                let at = address(*n);
                self.flying.extend(out.into_iter().map(|(to, bytes)| (at, to, bytes)));
            }
            for (n, relay) in &mut self.relays {
                let mut out = Vec::new();
                relay.neighbors.handle_timeout(now, &mut out);
                self.flying.extend(out.into_iter().map(|(to, bytes)| (address(*n), to, bytes)));
                if round.is_multiple_of(5) {
                    relay.view = relay.neighbors.view(now, 3);
                    let due = relay.probes.start_due_checks(now, &relay.view, 0..cards);
                    let mut ask: Vec<u32> = due;
                    // Each relay wants to know of each card server once a second, not in step with the others.
                    for card in (0..cards)
                        .filter(|card| (round / 5 + *n as u64 + u64::from(*card)).is_multiple_of(10))
                    {
                        match relay.probes.request(now, &relay.view, card) {
                            HealthCheckDecision::Check => ask.push(card),
                            HealthCheckDecision::Known { outcome: Outcome::Cancelled, report: None } => {
                                self.unknown += 1
                            }
                            HealthCheckDecision::Known { outcome, report } => {
                                assert_eq!((outcome, report.and_then(|r| r.load)), (Outcome::Ok, Some(0.4)));
                                self.known += 1;
                            }
                        }
                    }
                    for card in ask {
                        *self.asked.entry((card, now / S)).or_default() += 1;
                        let report = LoadReport { load: Some(0.4), ..LoadReport::default() };
                        relay.probes.check_ended(now, card, Outcome::Ok, Some(&report));
                    }
                    let findings = relay.probes.observations(now, &relay.view);
                    if !findings.is_empty() {
                        relay.neighbors.publish(now, findings);
                    }
                }
            }
        }
    }

    /// The most probes at one card server in a second, from a time on.
    fn worst(&self, from: Micros) -> usize {
        let late = self.asked.iter().filter(|((_, second), _)| *second >= from.div_ceil(S));
        late.map(|(_, asked)| *asked).max().unwrap_or(0)
    }
}

#[test]
fn probes_at_one_card_server_do_not_grow_with_the_relays() {
    let mut seen = Vec::new();
    for relays in [12, 60] {
        let mut fleet = Fleet::new(relays, 8);
        fleet.pass(9 * S, true);
        let from = fleet.now;
        (fleet.known, fleet.unknown) = (0, 0);
        fleet.pass(8 * S, true);
        seen.push(fleet.worst(from));
        let wishes = fleet.known + fleet.unknown;
        assert!(fleet.unknown * 20 <= wishes, "{} of {wishes} wishes found nothing known", fleet.unknown);
    }
    assert!(seen[1] as f64 <= 1.2 * seen[0] as f64 + 1.0, "{seen:?} probes in a second at 12 and 60 relays");
    assert!(seen[1] <= 12, "{seen:?}");
}

#[test]
fn witnesses_that_die_together_are_replaced_and_no_flood_comes_between() {
    let mut fleet = Fleet::new(40, 4);
    fleet.pass(9 * S, true);
    let alive = fleet.relays[&0].view.alive.clone();
    let gone = honeyknot_gossip::assigned_probers(&alive, 1, 3);
    fleet.relays.retain(|_, relay| !gone.contains(&relay.view.local));
    assert_eq!(fleet.relays.len(), 37);
    let from = fleet.now;
    fleet.pass(8 * S, true);
    assert!(fleet.worst(from) <= 14, "{} probes in a second while they were not replaced", fleet.worst(from));
    let second = fleet.now / S;
    let asked = (second - 2..second).map(|s| fleet.asked.get(&(1, s)).copied().unwrap_or(0)).sum::<usize>();
    assert!(asked >= 4, "others have taken over: {asked} in two seconds");
}

/// The first line of the proof: with nobody heard, all is as it was.
#[test]
fn who_hears_nobody_asks_for_itself() {
    let mut fleet = Fleet::new(10, 3);
    fleet.pass(5 * S, false);
    assert_eq!((fleet.known, fleet.unknown), (0, 0));
    assert!(fleet.worst(START + S) >= 9, "each relay asks");
}

/// Guards against one witness that is believed: it may lie, or have a bad link.
#[test]
fn one_witness_is_not_believed_and_two_are() {
    let mut fleet = Fleet::new(12, 1);
    fleet.pass(9 * S, true);
    let alive = fleet.relays[&0].view.alive.clone();
    let chosen = honeyknot_gossip::assigned_probers(&alive, 0, 3);
    let other = fleet
        .relays
        .iter()
        .find(|(_, relay)| !chosen.contains(&relay.view.local))
        .map(|(n, _)| *n)
        .expect("one");
    // All witnesses but one fall silent; what they said ends.
    let silent: Vec<usize> =
        fleet.relays.iter().filter(|(_, r)| chosen[1..].contains(&r.view.local)).map(|(n, _)| *n).collect();
    for n in silent {
        fleet.relays.remove(&n);
    }
    fleet.pass(2_100 * MS, true);
    let now = fleet.now;
    let relay = fleet.relays.get_mut(&other).expect("it lives");
    let view = relay.view.clone();
    if view.aggregated(now, 0, 2 * S).is_some_and(|joined| joined.observations == 1) {
        let answers: Vec<HealthCheckDecision> =
            (0..200).map(|_| relay.probes.request(now, &view, 0)).collect();
        assert!(answers.iter().all(|a| matches!(
            a,
            HealthCheckDecision::Check
                | HealthCheckDecision::Known { outcome: Outcome::Cancelled, report: None }
        )));
        let asked = answers.iter().filter(|a| **a == HealthCheckDecision::Check).count();
        assert!((10..=120).contains(&asked), "{asked} of 200 ask, by chance");
    }
}
