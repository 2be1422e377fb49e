//! What a relay's neighbourhood looks like at one moment, read-only.

use std::collections::BTreeMap;

use honeyknot_balancer::{EndpointId, Micros};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::number_of;
use crate::word::{Found, Word};

/// Relays whose lists of the living differ by a few still count each other's witnesses: so many more places count than are
/// wanted.
const TOLERANCE: usize = 2;

/// The number of a card server, the same at every relay.
pub fn card_number(id: &EndpointId) -> u32 {
    (xxh3_64(id.0.as_bytes()) >> 32) as u32
}

/// The witnesses of a card server among these relays: those that come first in a race that all see alike. One that dies
/// leaves all other places as they are.
pub fn witnesses(alive: &[u64], card: u32, wanted: usize) -> Vec<u64> {
    let mut race: Vec<(u64, u64)> = alive
        .iter()
        .map(|relay| (xxh3_64_with_seed(&relay.to_le_bytes(), u64::from(card)), *relay))
        .collect();
    let wanted = wanted.min(race.len());
    if wanted > 0 && wanted < race.len() {
        race.select_nth_unstable(wanted - 1);
    }
    race.truncate(wanted);
    race.sort_unstable();
    race.into_iter().map(|(_, relay)| relay).collect()
}

/// What one witness has said of a card server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Said {
    /// Who.
    pub by: u64,
    /// How its probe ended.
    pub found: Found,
    /// Load over capacity.
    pub load: Option<f64>,
    /// What a message takes there in milliseconds.
    pub delay_ms: Option<f64>,
    /// How old it is at the view's time.
    pub age: Micros,
}

/// What the witnesses together have found of a card server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Joined {
    /// How many have said something lately.
    pub witnesses: usize,
    /// How most probes ended; for as many as not, the better word.
    pub found: Found,
    /// The middle one of their loads; the higher of two.
    pub load: Option<f64>,
    /// The middle one of what they say a message takes, in milliseconds; the higher of two.
    pub delay_ms: Option<f64>,
}

/// The neighbourhood as of one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// When it was made.
    pub at: Micros,
    /// This relay's number.
    pub me: u64,
    /// All that live, this relay among them, in order.
    pub alive: Vec<u64>,
    said: BTreeMap<u32, Vec<Said>>,
}

impl View {
    /// Of a relay that has heard nobody.
    pub fn alone(at: Micros, me: u64) -> View {
        View { at, me, alive: vec![me], said: BTreeMap::new() }
    }

    /// Joins words. What somebody says of a card server whose witness it cannot be is left out.
    pub(crate) fn join<'a>(
        at: Micros, me: u64, alive: Vec<u64>, wanted: usize, words: impl Iterator<Item = (Micros, &'a Word)>,
    ) -> View {
        let mut said: BTreeMap<u32, Vec<Said>> = BTreeMap::new();
        for (word_age, word) in words {
            let by = number_of(word.from);
            for finding in &word.findings {
                let age = word_age + Micros::from(finding.age_ms) * 1_000;
                let load = finding.load.map(|hundredths| f64::from(hundredths) / 100.0);
                said.entry(finding.card).or_default().push(Said {
                    by,
                    found: finding.found,
                    load,
                    delay_ms: finding.delay_ms.map(f64::from),
                    age,
                });
            }
        }
        for (card, all) in &mut said {
            let may = witnesses(&alive, *card, wanted + TOLERANCE);
            all.retain(|said| may.contains(&said.by));
        }
        said.retain(|_, all| !all.is_empty());
        View { at, me, alive, said }
    }

    /// What each has said of a card server.
    pub fn said(&self, card: u32) -> &[Said] {
        self.said.get(&card).map_or(&[], Vec::as_slice)
    }

    /// What the witnesses have found of a card server within this time, this relay's own word left out. One that lies moves
    /// the middle of three to no further than the next honest one.
    pub fn joined(&self, now: Micros, card: u32, within: Micros) -> Option<Joined> {
        let passed = now.saturating_sub(self.at);
        let fresh = self.said(card).iter().filter(|said| said.by != self.me && said.age + passed < within);
        let fresh: Vec<&Said> = fresh.collect();
        let count = |found| fresh.iter().filter(|said| said.found == found).count();
        let found =
            [Found::Well, Found::Ill, Found::Silent].into_iter().rev().max_by_key(|found| count(*found))?;
        if fresh.is_empty() {
            return None;
        }
        let middle = |mut figures: Vec<f64>| {
            figures.sort_by(f64::total_cmp);
            figures.get(figures.len() / 2).copied()
        };
        let load = middle(fresh.iter().filter_map(|said| said.load).collect());
        let delay_ms = middle(fresh.iter().filter_map(|said| said.delay_ms).collect());
        Some(Joined { witnesses: fresh.len(), found, load, delay_ms })
    }
}
