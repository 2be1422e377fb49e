//! Card servers that operators have taken out by hand: an overlay between discovery's roll and the decisions.
//!
//! The decisions see a roll in which a card server that is out drains, whatever discovery says of it meanwhile, so
//! that all they do about a drain is done: nothing new, and its connections moved at a pace. Put back, it counts as
//! cold: operators restart what they take out. It has started when discovery says, if that is since it was taken out,
//! and else just now, as discovery may tell late or never. No I/O, no clock.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;

/// No card server of this id was ever named, by the roll or by a ban that was taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown;

/// The roll as discovery tells it, and who is out by hand.
///
/// It holds one entry for each card server that the roll names, and one name for each that it ever named.
#[derive(Debug, Default)]
pub struct Withheld {
    /// Who is out, and since when.
    out: BTreeMap<ServerId, Micros>,
    roll: BTreeMap<ServerId, ServerEntry>,
    named: BTreeSet<ServerId>,
    /// When card servers were last taken out by hand, and put back.
    back: BTreeMap<ServerId, Absence>,
}

/// From when to when a card server was out by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// Taken out.
    pub from: Micros,
    /// Put back.
    pub to: Micros,
}

impl Withheld {
    /// News of the roll, as the decisions are to see them.
    pub fn news(&mut self, entries: Vec<ServerEntry>, whole: bool) -> Vec<ServerEntry> {
        if whole {
            self.roll.clear();
        }
        let mut shown = Vec::with_capacity(entries.len());
        for entry in entries {
            self.named.insert(entry.server.clone());
            let seen = self.show(&entry);
            match entry.state {
                ServerState::Gone => drop(self.roll.remove(&entry.server)),
                _ => drop(self.roll.insert(entry.server.clone(), entry)),
            }
            shown.push(seen);
        }
        if whole {
            // Guards against a card server that is out, leaves the roll and comes back while it is still out.
            let missing = self.out.keys().filter(|id| !self.roll.contains_key(*id));
            shown.extend(missing.map(|id| absent(id, ServerState::Draining)));
        }
        shown
    }

    /// Takes a card server out; what the decisions are to hear of it. Nothing if it is out already.
    pub fn take_out(&mut self, now: Micros, id: &ServerId) -> Result<Option<ServerEntry>, Unknown> {
        if !self.named.contains(id) {
            return Err(Unknown);
        }
        Ok(self.withhold(now, id))
    }

    /// The same for one that another process of this relay has taken out: it was known there.
    pub fn withhold(&mut self, since: Micros, id: &ServerId) -> Option<ServerEntry> {
        self.named.insert(id.clone());
        if self.out.contains_key(id) {
            return None;
        }
        self.out.insert(id.clone(), since);
        Some(self.roll.get(id).map_or_else(|| absent(id, ServerState::Draining), |entry| self.show(entry)))
    }

    /// Puts a card server back; what the decisions are to hear of it. Nothing if it was not out.
    pub fn put_back(&mut self, now: Micros, id: &ServerId) -> Result<Option<ServerEntry>, Unknown> {
        let Some(from) = self.out.remove(id) else {
            return self.named.contains(id).then_some(None).ok_or(Unknown);
        };
        self.back.insert(id.clone(), Absence { from, to: now });
        Ok(Some(match self.roll.get(id) {
            Some(entry) => self.show(entry),
            None => absent(id, ServerState::Gone),
        }))
    }

    /// Notes that another process of this relay has put a card server back; what the decisions are to hear of it.
    pub fn was_put_back(&mut self, was: Absence, id: &ServerId) -> Option<ServerEntry> {
        self.named.insert(id.clone());
        if self.back.get(id).is_none_or(|known| known.to < was.to) {
            self.back.insert(id.clone(), was);
        }
        self.roll.get(id).map(|entry| self.show(entry))
    }

    /// What the decisions are to hear where another process was told that these leave: news of discovery that are
    /// newer than the roll held here.
    pub fn leaving(&mut self, ids: &[ServerId]) -> Vec<ServerEntry> {
        let mut told = Vec::new();
        for id in ids {
            let Some(entry) = self.roll.get_mut(id).filter(|e| e.state == ServerState::Ready) else {
                continue;
            };
            entry.state = ServerState::Draining;
            told.push(entry.clone());
        }
        told
    }

    /// Who was put back, and how long each was out.
    pub fn back(&self) -> impl Iterator<Item = (&ServerId, Absence)> {
        self.back.iter().map(|(id, was)| (id, *was))
    }

    /// Who is out, and since when.
    pub fn out(&self) -> impl Iterator<Item = (&ServerId, Micros)> {
        self.out.iter().map(|(id, since)| (id, *since))
    }

    /// Whether a card server is out.
    pub fn holds(&self, id: &ServerId) -> bool {
        self.out.contains_key(id)
    }

    /// How many card servers the roll lists.
    pub fn listed(&self) -> usize {
        self.roll.len()
    }

    /// How many of the listed are out by hand, or among those avoided by choice.
    pub fn avoided<'a>(&'a self, by_choice: impl Iterator<Item = &'a ServerId>) -> usize {
        let all: BTreeSet<&ServerId> = self.out.keys().chain(by_choice).collect();
        all.into_iter().filter(|id| self.roll.contains_key(*id)).count()
    }

    fn show(&self, entry: &ServerEntry) -> ServerEntry {
        let mut seen = entry.clone();
        if self.out.contains_key(&entry.server) {
            seen.state = ServerState::Draining;
        }
        // Guards against news that tell of the restart late, and against those that never do.
        let was = self.back.get(&entry.server).filter(|was| entry.started <= was.from);
        seen.started = seen.started.max(was.map_or(0, |was| was.to));
        seen
    }
}

/// What is known of one that the roll does not name.
fn absent(id: &ServerId, state: ServerState) -> ServerEntry {
    ServerEntry { server: id.clone(), state, ..ServerEntry::default() }
}
