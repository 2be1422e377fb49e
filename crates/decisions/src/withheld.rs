//! Card servers that operators have taken out by hand: an overlay between discovery's roll and the decisions.
//!
//! The decisions see a roll in which a card server that is out drains, whatever discovery says of it meanwhile, so
//! that all they do about a drain is done: nothing new, and its connections moved at a pace. Put back, it has just
//! started: operators restart what they take out, and discovery may tell so late or never. No I/O, no clock.

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
    out: BTreeSet<ServerId>,
    roll: BTreeMap<ServerId, ServerEntry>,
    named: BTreeSet<ServerId>,
    /// When card servers were last put back by hand.
    back: BTreeMap<ServerId, Micros>,
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
            let missing = self.out.iter().filter(|id| !self.roll.contains_key(*id));
            shown.extend(missing.map(|id| absent(id, ServerState::Draining)));
        }
        shown
    }

    /// Takes a card server out; what the decisions are to hear of it. Nothing if it is out already.
    pub fn take_out(&mut self, id: &ServerId) -> Result<Option<ServerEntry>, Unknown> {
        if !self.named.contains(id) {
            return Err(Unknown);
        }
        Ok(self.withhold(id))
    }

    /// The same for one that another process of this relay has taken out: it was known there.
    pub fn withhold(&mut self, id: &ServerId) -> Option<ServerEntry> {
        self.named.insert(id.clone());
        self.out.insert(id.clone()).then(|| match self.roll.get(id) {
            Some(entry) => self.show(entry),
            None => absent(id, ServerState::Draining),
        })
    }

    /// Puts a card server back; what the decisions are to hear of it. Nothing if it was not out.
    pub fn put_back(&mut self, now: Micros, id: &ServerId) -> Result<Option<ServerEntry>, Unknown> {
        if !self.out.remove(id) {
            return self.named.contains(id).then_some(None).ok_or(Unknown);
        }
        self.back.insert(id.clone(), now);
        Ok(Some(match self.roll.get(id) {
            Some(entry) => self.show(entry),
            None => absent(id, ServerState::Gone),
        }))
    }

    /// Notes that another process of this relay has put a card server back; what the decisions are to hear of it.
    pub fn was_put_back(&mut self, at: Micros, id: &ServerId) -> Option<ServerEntry> {
        self.named.insert(id.clone());
        let last = self.back.entry(id.clone()).or_insert(at);
        *last = at.max(*last);
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

    /// Who was put back, and when.
    pub fn back(&self) -> impl Iterator<Item = (&ServerId, Micros)> {
        self.back.iter().map(|(id, at)| (id, *at))
    }

    /// Who is out.
    pub fn out(&self) -> impl Iterator<Item = &ServerId> {
        self.out.iter()
    }

    /// Whether a card server is out.
    pub fn holds(&self, id: &ServerId) -> bool {
        self.out.contains(id)
    }

    /// How many card servers the roll lists.
    pub fn listed(&self) -> usize {
        self.roll.len()
    }

    /// How many of the listed are out by hand, or among those avoided by choice.
    pub fn avoided<'a>(&'a self, by_choice: impl Iterator<Item = &'a ServerId>) -> usize {
        let all: BTreeSet<&ServerId> = self.out.iter().chain(by_choice).collect();
        all.into_iter().filter(|id| self.roll.contains_key(*id)).count()
    }

    fn show(&self, entry: &ServerEntry) -> ServerEntry {
        let mut seen = entry.clone();
        if self.out.contains(&entry.server) {
            seen.state = ServerState::Draining;
        }
        // Guards against news that tell of the restart late, or of the start before it: as a start at another time
        // they would make all that stands there now that of an earlier process.
        seen.started = seen.started.max(self.back.get(&entry.server).copied().unwrap_or(0));
        seen
    }
}

/// What is known of one that the roll does not name.
fn absent(id: &ServerId, state: ServerState) -> ServerEntry {
    ServerEntry { server: id.clone(), state, ..ServerEntry::default() }
}
