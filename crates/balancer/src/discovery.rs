//! Updates of the endpoint list.

use std::collections::BTreeSet;

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::balancer::{ASK_TOKEN, Balancer};
use crate::endpoint_record::Server;
use crate::migration::SHED_TIME;
use crate::slow_start::Slots;
use crate::{Action, Endpoint, EndpointId, EndpointState, EndpointUpdate, Micros};

/// Drain timeout where no drain has been seen to its end.
pub(crate) const DRAIN_TIMEOUT: Micros = 30_000_000;
/// Moves begin as if an unknown drain were this much shorter than the timeout: many are.
pub(crate) const DRAIN_CAUTION: u64 = 10;
/// Part of the expected drain in which the moves are made.
pub(crate) const DRAIN_USE: f64 = 0.7;
/// Longest first wait before the list is asked for, so that balancers started together do not ask together.
pub(crate) const ASK_SPREAD: Micros = 2_000_000;
/// First wait after a refused call; it doubles up to 8 times this.
pub(crate) const ASK_AGAIN: Micros = 500_000;

impl Balancer {
    pub(crate) fn take_list(&mut self, now: Micros, update: EndpointUpdate, out: &mut Vec<Action>) {
        let (entries, whole) = match update {
            EndpointUpdate::Failed => {
                // A refused call is a sign that all ask at once: wait longer each time, and not in step.
                let wait = ASK_AGAIN << self.asks_failed.min(3);
                self.asks_failed += 1;
                let delay = self.rng.random_range(wait / 2..=wait + wait / 2);
                out.push(Action::SetTimer { delay, token: ASK_TOKEN });
                return;
            }
            EndpointUpdate::Cached(entries) | EndpointUpdate::Full(entries) => (entries, true),
            EndpointUpdate::Delta(entries) => (entries, false),
        };
        self.asks_failed = 0;
        if whole {
            let named: BTreeSet<&EndpointId> = entries.iter().map(|e| &e.id).collect();
            let lost: Vec<EndpointId> =
                self.servers.keys().filter(|id| !named.contains(id)).cloned().collect();
            for id in lost {
                self.leave(now, &id, EndpointState::Removed);
            }
        }
        for entry in entries.iter() {
            match entry.state {
                EndpointState::Ready => self.join(entry),
                state => {
                    if state == EndpointState::Draining && !self.servers.contains_key(&entry.id) {
                        self.join(entry);
                    }
                    self.leave(now, &entry.id, state);
                }
            }
        }
        self.survey(now);
    }

    pub(crate) fn join(&mut self, entry: &Endpoint) {
        let mut standing = BTreeSet::new();
        if let Some(known) = self.servers.get_mut(&entry.id) {
            if known.entry.started_at == entry.started_at && known.ready() {
                known.entry = entry.clone();
                return;
            }
            // A new process: nothing known of the old one holds, but what stood there still ends.
            standing = std::mem::take(&mut known.standing);
        }
        let server = Server {
            hash: xxh3_64_with_seed(entry.id.0.as_bytes(), 0),
            entry: entry.clone(),
            standing,
            slots: Slots::new(self.rng.random()),
            ..Server::default()
        };
        self.servers.insert(entry.id.clone(), server);
    }

    /// A server drains or is gone: it takes nothing new, and what stands there is flagged and moved.
    pub(crate) fn leave(&mut self, now: Micros, id: &EndpointId, state: EndpointState) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if state == EndpointState::Removed
            && let (EndpointState::Draining, Some(told)) = (server.entry.state, server.leaving)
        {
            // The shortest drain seen sets the pace of the next.
            let lasted = now.saturating_sub(told);
            self.drain_seen = Some(self.drain_seen.map_or(lasted, |seen| seen.min(lasted)));
        }
        let first = server.leaving.is_none();
        server.entry.state = state;
        server.leaving.get_or_insert(now);
        if state == EndpointState::Removed {
            self.plan_moves(now, id, 1.0, SHED_TIME);
        } else if first {
            let lasts = self.drain_seen.unwrap_or(DRAIN_TIMEOUT / DRAIN_CAUTION);
            self.plan_moves(now, id, 1.0, (lasts as f64 * DRAIN_USE) as Micros);
        }
    }
}
