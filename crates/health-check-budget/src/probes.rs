//! One budget of probes a card server, over all relays.
//!
//! A few witnesses ask a card server in turn; all others take what these have found. So the probes at one card server are
//! `witnesses / EVERY` a second whatever the number of relays, and with them the connections that are kept for probing.
//!
//! - **Who**: the first `wanted` of the living in a race by card server. The dead leave the race once the neighbourhood calls
//!   them dead, and the next in the race takes over.
//! - **Others** take the middle of at least [`ENOUGH`] findings that are fresh. Where there are fewer, a relay that wants to know
//!   asks with the chance of `wanted` out of the living: a fleet whose witnesses all died at once makes, in the meantime, about
//!   as many probes as its relays have wishes, times that chance.
//! - **Alone**, or among no more relays than witnesses are wanted, a relay asks as it would without this room.

use std::collections::BTreeMap;

use honeyknot_balancer::{LoadReport, Micros, Outcome};
use honeyknot_gossip::{GossipView, HealthCheckOutcome, HealthObservation, assigned_probers};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A witness asks its card servers this often: reports are refreshed about as often.
const EVERY: Micros = 800_000;
/// ... and no more often than this, whatever it wants to know.
const LEAST: Micros = 300_000;
/// Findings older than this are no answer.
const FRESH: Micros = 2_000_000;
/// Fewer witnesses are not believed: one may lie, or have a bad link.
const ENOUGH: usize = 2;
/// A witness says again what it found for this long.
const SAID_FOR: Micros = 2_500_000;

/// What becomes of a wish to probe a card server.
#[derive(Clone, Debug, PartialEq)]
pub enum Asking {
    /// It is asked.
    Ask,
    /// It is not: this is known.
    Known(Outcome, Option<LoadReport>),
}

/// Load over capacity, and what a message takes in milliseconds, where they were reported.
type Figures = (Option<f64>, Option<f64>);

/// What this relay has found of a card server itself.
#[derive(Clone, Copy, Debug)]
struct Own {
    asked: Micros,
    found: Option<(Micros, HealthCheckOutcome, Figures)>,
}

/// The budget as one relay keeps it.
pub struct Probes {
    wanted: usize,
    rng: Pcg64Mcg,
    own: BTreeMap<u32, Own>,
    /// Whose witness this relay is among these living; found out anew when they change.
    duties: BTreeMap<u32, bool>,
    among: Vec<u64>,
}

impl Probes {
    /// A budget of so many witnesses a card server.
    pub fn new(wanted: usize, seed: u64) -> Probes {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Probes { wanted, rng, own: BTreeMap::new(), duties: BTreeMap::new(), among: Vec::new() }
    }

    /// Whether this relay is a witness of a card server.
    fn witness(&mut self, view: &GossipView, card: u32) -> bool {
        if self.among != view.alive {
            self.duties.clear();
            self.among.clone_from(&view.alive);
        }
        let wanted = self.wanted;
        *self
            .duties
            .entry(card)
            .or_insert_with(|| assigned_probers(&view.alive, card, wanted).contains(&view.local))
    }

    /// Nobody else is there to ask.
    fn alone(&self, view: &GossipView) -> bool {
        view.alive.len() <= self.wanted
    }

    /// The decisions, or another room, want to know how a card server does.
    pub fn wish(&mut self, now: Micros, view: &GossipView, card: u32) -> Asking {
        if self.alone(view) {
            return self.ask(now, card);
        }
        if self.witness(view, card) {
            let recent = self.own.get(&card).filter(|own| now.saturating_sub(own.asked) < LEAST);
            let known = recent.and_then(|own| own.found);
            return match known {
                Some((_, found, figures)) => Asking::Known(outcome(found), report(figures)),
                None => self.ask(now, card),
            };
        }
        match view.aggregated(now, card, FRESH).filter(|joined| joined.observations >= ENOUGH) {
            Some(joined) => Asking::Known(outcome(joined.outcome), report((joined.load, joined.latency_ms))),
            None if self.rng.random_bool((self.wanted as f64 / view.alive.len() as f64).min(1.0)) => {
                self.ask(now, card)
            }
            // Nothing is known, and that is no sign of ill health.
            None => Asking::Known(Outcome::Cancelled, None),
        }
    }

    fn ask(&mut self, now: Micros, card: u32) -> Asking {
        self.own.entry(card).or_insert(Own { asked: now, found: None }).asked = now;
        Asking::Ask
    }

    /// The card servers out of these that this relay has to ask now, as their witness.
    pub fn due(&mut self, now: Micros, view: &GossipView, cards: impl Iterator<Item = u32>) -> Vec<u32> {
        let mut due = Vec::new();
        if self.alone(view) {
            return due;
        }
        for card in cards {
            let late = |own: &Own| now.saturating_sub(own.asked) >= EVERY;
            if self.witness(view, card) && self.own.get(&card).is_none_or(late) {
                self.ask(now, card);
                due.push(card);
            }
        }
        due
    }

    /// A probe of this relay's own has ended.
    pub fn ended(&mut self, now: Micros, card: u32, outcome: Outcome, told: Option<&LoadReport>) {
        let found = match outcome {
            Outcome::Ok | Outcome::Rejected => HealthCheckOutcome::Healthy,
            Outcome::Error => HealthCheckOutcome::Failing,
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => HealthCheckOutcome::Unresponsive,
            // Nobody was asked.
            Outcome::Cancelled | Outcome::NotSent => return,
        };
        let (load, delay) = (told.and_then(|r| r.load), told.and_then(|r| r.latency_ms));
        self.own.entry(card).or_insert(Own { asked: now, found: None }).found =
            Some((now, found, (load, delay)));
    }

    /// What this relay has to say of its card servers.
    pub fn findings(&mut self, now: Micros, view: &GossipView) -> Vec<HealthObservation> {
        self.own.retain(|_, own| now.saturating_sub(own.asked) < SAID_FOR * 4);
        let own: Vec<(u32, Own)> = self.own.iter().map(|(card, own)| (*card, *own)).collect();
        let mut said = Vec::new();
        for (card, own) in own {
            let Some((at, found, (load, delay))) = own.found else { continue };
            let age = now.saturating_sub(at);
            if age < SAID_FOR && self.witness(view, card) {
                let load = load.map(|load| (load * 100.0).round().clamp(0.0, 255.0) as u8);
                let delay_ms = delay.map(|ms| ms.round().clamp(0.0, f64::from(u16::MAX)) as u16);
                said.push(HealthObservation {
                    endpoint: card,
                    outcome: found,
                    load_percent: load,
                    latency_ms: delay_ms,
                    age_ms: (age / 1_000) as u16,
                });
            }
        }
        said.sort_by_key(|finding| finding.age_ms);
        said
    }
}

fn outcome(found: HealthCheckOutcome) -> Outcome {
    match found {
        HealthCheckOutcome::Healthy => Outcome::Ok,
        HealthCheckOutcome::Failing => Outcome::Error,
        HealthCheckOutcome::Unresponsive => Outcome::Timeout,
    }
}

fn report((load, latency_ms): Figures) -> Option<LoadReport> {
    load.or(latency_ms).map(|_| LoadReport { load, latency_ms, ..LoadReport::default() })
}
