//! Card servers that operators have taken out by hand: an overlay between discovery's roll and the decisions.
//!
//! The decisions see a roll in which a card server that is out drains, whatever discovery says of it meanwhile, so
//! that all they do about a drain is done: nothing new, and its connections moved at a pace. Put back, it counts as
//! cold: operators restart what they take out. It has started when discovery says, if that is since it was taken out,
//! and else just now, as discovery may tell late or never. No I/O, no clock.

use std::collections::{BTreeMap, BTreeSet};

use crate::*;

/// No card server of this id was ever named, by the roll or by a ban that was taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownEndpoint;

/// The roll as discovery tells it, and who is out by hand.
///
/// It holds one entry for each card server that the roll names, and one name for each that it ever named.
#[derive(Debug, Default)]
pub struct MaintenanceOverlay {
    /// Who is out, and since when.
    out: BTreeMap<EndpointId, Micros>,
    roll: BTreeMap<EndpointId, Endpoint>,
    named: BTreeSet<EndpointId>,
    /// When card servers were last taken out by hand, and put back.
    back: BTreeMap<EndpointId, MaintenanceWindow>,
}

/// From when to when a card server was out by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaintenanceWindow {
    /// Taken out.
    pub from: Micros,
    /// Put back.
    pub to: Micros,
}

impl MaintenanceOverlay {
    /// News of the roll, as the decisions are to see them.
    pub fn news(&mut self, entries: Vec<Endpoint>, whole: bool) -> Vec<Endpoint> {
        if whole {
            self.roll.clear();
        }
        let mut shown = Vec::with_capacity(entries.len());
        for entry in entries {
            self.named.insert(entry.id.clone());
            let seen = self.show(&entry);
            match entry.state {
                EndpointState::Removed => drop(self.roll.remove(&entry.id)),
                _ => drop(self.roll.insert(entry.id.clone(), entry)),
            }
            shown.push(seen);
        }
        if whole {
            // Guards against a card server that is out, leaves the roll and comes back while it is still out.
            let missing = self.out.keys().filter(|id| !self.roll.contains_key(*id));
            shown.extend(missing.map(|id| absent(id, EndpointState::Draining)));
        }
        shown
    }

    /// Takes a card server out; what the decisions are to hear of it. Nothing if it is out already.
    pub fn take_out(&mut self, now: Micros, id: &EndpointId) -> Result<Option<Endpoint>, UnknownEndpoint> {
        if !self.named.contains(id) {
            return Err(UnknownEndpoint);
        }
        Ok(self.withhold(now, id))
    }

    /// The same for one that another process of this relay has taken out: it was known there.
    pub fn withhold(&mut self, since: Micros, id: &EndpointId) -> Option<Endpoint> {
        self.named.insert(id.clone());
        if self.out.contains_key(id) {
            return None;
        }
        self.out.insert(id.clone(), since);
        Some(self.roll.get(id).map_or_else(|| absent(id, EndpointState::Draining), |entry| self.show(entry)))
    }

    /// Puts a card server back; what the decisions are to hear of it. Nothing if it was not out.
    pub fn put_back(&mut self, now: Micros, id: &EndpointId) -> Result<Option<Endpoint>, UnknownEndpoint> {
        let Some(from) = self.out.remove(id) else {
            return self.named.contains(id).then_some(None).ok_or(UnknownEndpoint);
        };
        self.back.insert(id.clone(), MaintenanceWindow { from, to: now });
        Ok(Some(match self.roll.get(id) {
            Some(entry) => self.show(entry),
            None => absent(id, EndpointState::Removed),
        }))
    }

    /// Notes that another process of this relay has put a card server back; what the decisions are to hear of it.
    pub fn was_put_back(&mut self, was: MaintenanceWindow, id: &EndpointId) -> Option<Endpoint> {
        self.named.insert(id.clone());
        if self.back.get(id).is_none_or(|known| known.to < was.to) {
            self.back.insert(id.clone(), was);
        }
        self.roll.get(id).map(|entry| self.show(entry))
    }

    /// What the decisions are to hear where another process was told that these leave: news of discovery that are
    /// newer than the roll held here.
    pub fn leaving(&mut self, ids: &[EndpointId]) -> Vec<Endpoint> {
        let mut told = Vec::new();
        for id in ids {
            let Some(entry) = self.roll.get_mut(id).filter(|e| e.state == EndpointState::Ready) else {
                continue;
            };
            entry.state = EndpointState::Draining;
            told.push(entry.clone());
        }
        told
    }

    /// Who was put back, and how long each was out.
    pub fn back(&self) -> impl Iterator<Item = (&EndpointId, MaintenanceWindow)> {
        self.back.iter().map(|(id, was)| (id, *was))
    }

    /// Who is out, and since when.
    pub fn out(&self) -> impl Iterator<Item = (&EndpointId, Micros)> {
        self.out.iter().map(|(id, since)| (id, *since))
    }

    /// Whether a card server is out.
    pub fn holds(&self, id: &EndpointId) -> bool {
        self.out.contains_key(id)
    }

    /// How many card servers the roll lists.
    pub fn listed(&self) -> usize {
        self.roll.len()
    }

    /// How many of the listed are out by hand, or among those avoided by choice.
    pub fn avoided<'a>(&'a self, by_choice: impl Iterator<Item = &'a EndpointId>) -> usize {
        let all: BTreeSet<&EndpointId> = self.out.keys().chain(by_choice).collect();
        all.into_iter().filter(|id| self.roll.contains_key(*id)).count()
    }

    fn show(&self, entry: &Endpoint) -> Endpoint {
        let mut seen = entry.clone();
        if self.out.contains_key(&entry.id) {
            seen.state = EndpointState::Draining;
        }
        // Guards against news that tell of the restart late, and against those that never do.
        let was = self.back.get(&entry.id).filter(|was| entry.started_at <= was.from);
        seen.started_at = seen.started_at.max(was.map_or(0, |was| was.to));
        seen
    }
}

/// What is known of one that the roll does not name.
fn absent(id: &EndpointId, state: EndpointState) -> Endpoint {
    Endpoint { id: id.clone(), state, ..Endpoint::default() }
}
