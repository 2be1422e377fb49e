//! The model of a card server: what it can do, what it holds, when it falls over. Pure: time is passed in.
//!
//! Loads are in usual sessions: a card server of capacity 40 is full with 40 sessions of usual load, each deck that is
//! held there counting as some sessions more. All times are Unix microseconds.

use std::collections::{BTreeMap, VecDeque};

/// Microseconds.
pub type Micros = u64;

/// What a cold card server falls over at: this multiple of its present capacity ...
pub const FALL_MULTIPLE: f64 = 3.0;
/// ... within this.
pub const FALL_WINDOW: Micros = 2_000_000;
/// Work that never fells a card server, however cold: a few sessions at once are chance.
const FALL_LEAST: f64 = 4.0;
/// Load over capacity at which messages begin to be late, and at which all of them are.
const LATE_FROM: f64 = 0.85;
const LATE_ALL: f64 = 1.15;
/// Load over capacity at which newcomers are turned away.
const FULL: f64 = 1.5;

/// How a card server is made.
#[derive(Clone, Debug)]
pub struct Make {
    /// Its size in the roll.
    pub weight: f64,
    /// Usual sessions that fill it once it is warm.
    pub capacity: f64,
    /// The part of its capacity that it starts with.
    pub cold_from: f64,
    /// The time that it takes to warm up evenly.
    pub cold: Micros,
    /// What each deck costs that it holds, in usual sessions.
    pub deck_cost: f64,
    /// How often its load reports are refreshed.
    pub report_every: Micros,
    /// How late reports are.
    pub report_late: Micros,
}

/// A session as its card server holds it.
#[derive(Clone, Debug)]
pub struct Held {
    /// Its load in usual sessions.
    pub load: f64,
    /// Its deck.
    pub deck: u64,
    /// It came by a relay of another site.
    pub foreign: bool,
    /// The site of that relay.
    pub from: usize,
}

/// What became of a newcomer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opened {
    /// It stands.
    Up,
    /// It is turned away.
    Busy,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// The part of its cores in use.
    pub util: f64,
    /// Milliseconds of work a message takes.
    pub latency_ms: f64,
    /// Load asked over what it can do.
    pub x0: f64,
}

/// A card server.
#[derive(Clone, Debug)]
pub struct CardModel {
    make: Make,
    started: Micros,
    sessions: BTreeMap<u64, Held>,
    decks: BTreeMap<u64, (u32, u32)>,
    load: f64,
    sent: VecDeque<(Micros, f64)>,
    fallen: bool,
    worst_multiple: f64,
    reports: VecDeque<(Micros, Report)>,
}

impl CardModel {
    /// A card server that has just started, or long ago (`started` 0).
    pub fn new(make: Make, started: Micros) -> CardModel {
        CardModel {
            make,
            started,
            sessions: BTreeMap::new(),
            decks: BTreeMap::new(),
            load: 0.0,
            sent: VecDeque::new(),
            fallen: false,
            worst_multiple: 0.0,
            reports: VecDeque::new(),
        }
    }

    /// How it is made.
    pub fn make(&self) -> &Make {
        &self.make
    }

    /// When it started; 0 is long ago.
    pub fn started(&self) -> Micros {
        self.started
    }

    /// The part of its capacity that it has now.
    pub fn warmth(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= self.make.cold {
            return 1.0;
        }
        self.make.cold_from + (1.0 - self.make.cold_from) * age as f64 / self.make.cold as f64
    }

    /// Usual sessions that it can carry now.
    pub fn capacity(&self, now: Micros) -> f64 {
        if self.fallen { 0.0 } else { self.make.capacity * self.warmth(now) }
    }

    /// What it holds, decks included, in usual sessions.
    pub fn held(&self) -> f64 {
        self.load + self.decks.len() as f64 * self.make.deck_cost
    }

    /// What sessions of other sites hold: their load, and the decks that no other session here has.
    pub fn foreign(&self) -> f64 {
        let load: f64 = self.sessions.values().filter(|s| s.foreign).map(|s| s.load).sum();
        let decks = self.decks.values().filter(|(all, foreign)| all == foreign).count();
        load + decks as f64 * self.make.deck_cost
    }

    /// Sessions of relays of each site, by the site's number.
    pub fn sessions_from(&self, site: usize) -> usize {
        self.sessions.values().filter(|s| s.from == site).count()
    }

    /// Sessions held.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Load asked over what it can do.
    pub fn x0(&self, now: Micros) -> f64 {
        self.held() / self.capacity(now).max(1e-9)
    }

    /// The share of messages that it answers in time.
    pub fn in_time(&self, now: Micros) -> f64 {
        if self.fallen {
            return 0.0;
        }
        ((LATE_ALL - self.x0(now)) / (LATE_ALL - LATE_FROM)).clamp(0.0, 1.0)
    }

    /// A newcomer's head has come. Every one of them is work that was sent, whether it stands or not.
    pub fn open(&mut self, now: Micros, id: u64, held: Held) -> Opened {
        if self.fallen {
            return Opened::Busy;
        }
        self.count_work(now, held.load);
        if self.fallen || self.x0(now) >= FULL {
            return Opened::Busy;
        }
        let deck = self.decks.entry(held.deck).or_default();
        deck.0 += 1;
        deck.1 += u32::from(held.foreign);
        self.load += held.load;
        self.sessions.insert(id, held);
        Opened::Up
    }

    /// The rule on cold card servers: the work sent within the window against present capacity, which is the rate of
    /// new sessions that fills it over its warm-up, times its warmth.
    fn count_work(&mut self, now: Micros, load: f64) {
        if self.warmth(now) >= 1.0 {
            return;
        }
        self.sent.push_back((now, load));
        while self.sent.front().is_some_and(|(at, _)| at + FALL_WINDOW <= now) {
            self.sent.pop_front();
        }
        let sent: f64 = self.sent.iter().map(|(_, load)| load).sum();
        let pace = self.make.capacity / (self.make.cold as f64 / 1e6) * self.warmth(now);
        let multiple = sent / (pace * FALL_WINDOW as f64 / 1e6);
        self.worst_multiple = self.worst_multiple.max(multiple);
        self.fallen |= sent > FALL_LEAST && multiple > FALL_MULTIPLE;
    }

    /// The largest multiple of its present capacity that it was sent while it was cold.
    pub fn worst_multiple(&self) -> f64 {
        self.worst_multiple
    }

    /// Whether it has fallen over: it stays down.
    pub fn fallen(&self) -> bool {
        self.fallen
    }

    /// A session has ended.
    pub fn close(&mut self, id: u64) {
        let Some(held) = self.sessions.remove(&id) else { return };
        self.load = if self.sessions.is_empty() { 0.0 } else { self.load - held.load };
        if let Some(deck) = self.decks.get_mut(&held.deck) {
            deck.0 -= 1;
            deck.1 -= u32::from(held.foreign);
            if deck.0 == 0 {
                self.decks.remove(&held.deck);
            }
        }
    }

    /// The report that a probe gets: refreshed now and then, and late.
    pub fn report(&mut self, now: Micros) -> Report {
        if self.reports.back().is_none_or(|(at, _)| now >= at + self.make.report_every) {
            let x0 = self.x0(now).min(99.0);
            let latency_ms = 4.0 / (1.05 - x0.min(1.0)) + (x0 - 1.0).max(0.0) * 400.0;
            self.reports.push_back((now, Report { util: x0.min(1.0), latency_ms, x0 }));
        }
        let due = |at: Micros| at + self.make.report_late <= now;
        while self.reports.len() > 1 && due(self.reports[1].0) {
            self.reports.pop_front();
        }
        self.reports.front().map(|r| r.1).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn make() -> Make {
        Make {
            weight: 1.0,
            capacity: 36.0,
            cold_from: 0.5,
            cold: 9_000_000,
            deck_cost: 3.0,
            report_every: 500_000,
            report_late: 300_000,
        }
    }

    fn held(deck: u64, foreign: bool) -> Held {
        Held { load: 1.0, deck, foreign, from: 0 }
    }

    #[test]
    fn decks_are_paid_for_once_and_foreign_load_is_told_apart() {
        let mut server = CardModel::new(make(), 0);
        for (id, deck, foreign) in [(1, 7, true), (2, 7, false), (3, 8, true), (4, 8, true)] {
            assert_eq!(server.open(1, id, held(deck, foreign)), Opened::Up);
        }
        assert_eq!((server.held(), server.foreign()), (10.0, 6.0));
        server.close(2);
        assert_eq!(server.foreign(), 9.0);
        (1..=4).for_each(|id| server.close(id));
        assert_eq!((server.held(), server.foreign(), server.sessions()), (0.0, 0.0, 0));
    }

    #[test]
    fn a_cold_server_falls_over_at_three_times_its_pace_and_a_warm_one_does_not() {
        // It fills at 4 sessions a second times its warmth of a half: 4 in 2 s, and 12 are too many.
        let start = 1_000_000_000;
        let mut cold = CardModel::new(make(), start);
        let stood = (0..20).filter(|id| cold.open(start, *id, held(1, false)) == Opened::Up).count();
        assert_eq!((stood, cold.fallen()), (12, true));
        let mut warm = CardModel::new(make(), 0);
        assert!((0..20).all(|id| warm.open(start, id, held(1, false)) == Opened::Up));
        let mut slow = CardModel::new(make(), start);
        let at = |id: u64| start + id * 250_000;
        assert!((0..20).all(|id| slow.open(at(id), id, held(1, false)) == Opened::Up));
    }

    #[test]
    fn reports_are_late() {
        let mut server = CardModel::new(make(), 0);
        assert_eq!(server.report(1_000_000).x0, 0.0);
        assert!((0..9).all(|id| server.open(1_000_000, id, held(1, false)) == Opened::Up));
        assert_eq!(server.report(1_400_000).x0, 0.0);
        assert_eq!(server.report(1_600_000).x0, 0.0);
        assert!(server.report(1_950_000).x0 > 0.3);
    }
}
