//! The book of this relay's sessions: where they stand, and what those at other sites hold there.

use std::collections::{BTreeMap, BTreeSet};

use honeyknot_balancer::{AffinityGroup, EndpointId, Micros, RequestId, ZoneId};

/// A session in the book.
pub struct Entry {
    /// Its card server.
    pub server: EndpointId,
    /// The card server's site.
    pub site: ZoneId,
    /// Its deck.
    pub deck: Option<AffinityGroup>,
    /// Its load in usual sessions.
    pub units: f64,
    /// Since when it stands, or its attempt is out.
    pub since: Micros,
}

/// All sessions that this relay has sent to other sites.
///
/// A receiving site is charged from the moment an attempt is made: guards against letting in a crowd before the first
/// of it stands.
#[derive(Default)]
pub struct Book {
    entries: BTreeMap<RequestId, Entry>,
    /// Sessions of each deck on each card server.
    decks: BTreeMap<(EndpointId, AffinityGroup), u32>,
    /// How many card servers of each site hold a deck by this relay's sessions.
    deck_sites: BTreeMap<(ZoneId, AffinityGroup), u32>,
    /// Usual sessions, and decks, held at each site.
    held: BTreeMap<ZoneId, (f64, u32)>,
    /// The sessions of each site that stand, by deck.
    standing: BTreeMap<ZoneId, BTreeSet<(Option<AffinityGroup>, RequestId)>>,
}

impl Book {
    /// Enters an attempt; what the session held before is taken out.
    pub fn enter(&mut self, id: RequestId, entry: Entry) {
        self.remove(id);
        let held = self.held.entry(entry.site).or_default();
        held.0 += entry.units;
        if let Some(deck) = &entry.deck {
            let count = self.decks.entry((entry.server.clone(), deck.clone())).or_default();
            *count += 1;
            if *count == 1 {
                held.1 += 1;
                *self.deck_sites.entry((entry.site, deck.clone())).or_default() += 1;
            }
        }
        self.entries.insert(id, entry);
    }

    /// The session stands.
    pub fn stands(&mut self, id: RequestId, now: Micros) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.since = now;
        self.standing.entry(entry.site).or_default().insert((entry.deck.clone(), id));
    }

    /// The session's load has changed.
    pub fn load(&mut self, id: RequestId, units: f64) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Some(held) = self.held.get_mut(&entry.site) {
            held.0 = (held.0 + units - entry.units).max(0.0);
        }
        entry.units = units;
    }

    /// The session, or the attempt, has ended.
    pub fn remove(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        let held = self.held.entry(entry.site).or_default();
        held.0 = (held.0 - entry.units).max(0.0);
        if let Some(deck) = &entry.deck {
            let key = (entry.server.clone(), deck.clone());
            if let Some(count) = self.decks.get_mut(&key) {
                *count -= 1;
                if *count == 0 {
                    self.decks.remove(&key);
                    held.1 -= 1;
                    let key = (entry.site, deck.clone());
                    let sites = self.deck_sites.get_mut(&key);
                    if sites.is_some_and(|count| {
                        *count -= 1;
                        *count == 0
                    }) {
                        self.deck_sites.remove(&key);
                    }
                }
            }
        }
        if let Some(standing) = self.standing.get_mut(&entry.site) {
            standing.remove(&(entry.deck.clone(), id));
        }
        Some(entry)
    }

    /// Usual sessions held at a site, a deck counted as `deck_cost` more.
    pub fn held(&self, site: ZoneId, deck_cost: f64) -> f64 {
        self.held.get(&site).map_or(0.0, |(units, decks)| units + f64::from(*decks) * deck_cost)
    }

    /// Whether a deck has a session of this relay at a site already.
    pub fn has_deck(&self, site: ZoneId, deck: &AffinityGroup) -> bool {
        self.deck_sites.contains_key(&(site, deck.clone()))
    }

    /// How many sessions stand at other sites.
    pub fn standing(&self) -> usize {
        self.standing.values().map(BTreeSet::len).sum()
    }

    /// How many stand at one site.
    pub fn standing_at(&self, site: ZoneId) -> usize {
        self.standing.get(&site).map_or(0, BTreeSet::len)
    }

    /// The next session to leave, of one site or any: of the deck named, or of the first deck from `after` on, so that
    /// a deck's sessions follow each other. Those that stand for less than `least` stay.
    pub fn next(
        &self, site: Option<ZoneId>, deck: &Option<AffinityGroup>, now: Micros, least: Micros,
    ) -> Option<(Option<AffinityGroup>, RequestId)> {
        let ripe = |(_, id): &&(Option<AffinityGroup>, RequestId)| {
            self.entries.get(id).is_some_and(|e| now >= e.since + least)
        };
        let sites = || self.standing.iter().filter(|(at, _)| site.is_none_or(|s| s == **at)).map(|(_, s)| s);
        let from = (deck.clone(), RequestId(0));
        let later = sites().filter_map(|s| s.range(from.clone()..).find(ripe)).min();
        later.or_else(|| sites().filter_map(|s| s.iter().find(ripe)).min()).cloned()
    }
}
