//! Updates of the endpoint list.

use std::collections::BTreeSet;

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::balancer::{Balancer, DISCOVERY_TOKEN};
use crate::endpoint_record::EndpointRecord;
use crate::migration::SHED_DURATION;
use crate::slow_start::SlowStartBudget;
use crate::{Action, Endpoint, EndpointId, EndpointState, EndpointUpdate, Micros};

/// Drain timeout where no drain has been seen to its end.
pub(crate) const DEFAULT_DRAIN_TIMEOUT: Micros = 30_000_000;
/// Moves begin as if an unknown drain were this much shorter than the timeout: many are.
pub(crate) const UNKNOWN_DRAIN_DIVISOR: u64 = 10;
/// Part of the expected drain in which the moves are made.
pub(crate) const DRAIN_MIGRATION_FRACTION: f64 = 0.7;
/// Longest first wait before the list is asked for, so that balancers started together do not ask together.
pub(crate) const MAX_INITIAL_DISCOVERY_DELAY: Micros = 2_000_000;
/// First wait after a refused call; it doubles up to 8 times this.
pub(crate) const DISCOVERY_BACKOFF: Micros = 500_000;

impl Balancer {
    pub(crate) fn update_endpoints(&mut self, now: Micros, update: EndpointUpdate, out: &mut Vec<Action>) {
        let (entries, whole) = match update {
            EndpointUpdate::Failed => {
                // A refused call is a sign that all ask at once: wait longer each time, and not in step.
                let wait = DISCOVERY_BACKOFF << self.failed_discovery_polls.min(3);
                self.failed_discovery_polls += 1;
                let delay = self.rng.random_range(wait / 2..=wait + wait / 2);
                out.push(Action::SetTimer { delay, token: DISCOVERY_TOKEN });
                return;
            }
            EndpointUpdate::Cached(entries) | EndpointUpdate::Full(entries) => (entries, true),
            EndpointUpdate::Delta(entries) => (entries, false),
        };
        self.failed_discovery_polls = 0;
        if whole {
            let named: BTreeSet<&EndpointId> = entries.iter().map(|e| &e.id).collect();
            let lost: Vec<EndpointId> =
                self.endpoints.keys().filter(|id| !named.contains(id)).cloned().collect();
            for id in lost {
                self.mark_leaving(now, &id, EndpointState::Removed);
            }
        }
        for entry in entries.iter() {
            match entry.state {
                EndpointState::Ready => self.add_endpoint(entry),
                state => {
                    if state == EndpointState::Draining && !self.endpoints.contains_key(&entry.id) {
                        self.add_endpoint(entry);
                    }
                    self.mark_leaving(now, &entry.id, state);
                }
            }
        }
        self.update_fleet_estimate(now);
    }

    pub(crate) fn add_endpoint(&mut self, entry: &Endpoint) {
        let mut standing = BTreeSet::new();
        if let Some(known) = self.endpoints.get_mut(&entry.id) {
            if known.endpoint.started_at == entry.started_at && known.is_ready() {
                known.endpoint = entry.clone();
                return;
            }
            // A new process: nothing known of the old one holds, but what stood there still ends.
            standing = std::mem::take(&mut known.connections);
        }
        let record = EndpointRecord {
            id_hash: xxh3_64_with_seed(entry.id.0.as_bytes(), 0),
            endpoint: entry.clone(),
            connections: standing,
            slow_start: SlowStartBudget::new(self.rng.random()),
            ..EndpointRecord::default()
        };
        self.endpoints.insert(entry.id.clone(), record);
    }

    /// An endpoint drains or is gone: it takes nothing new, and what stands there is flagged and moved.
    pub(crate) fn mark_leaving(&mut self, now: Micros, id: &EndpointId, state: EndpointState) {
        let Some(record) = self.endpoints.get_mut(id) else { return };
        if state == EndpointState::Removed
            && let (EndpointState::Draining, Some(told)) = (record.endpoint.state, record.leaving_since)
        {
            // The shortest drain seen sets the pace of the next.
            let lasted = now.saturating_sub(told);
            self.shortest_drain = Some(self.shortest_drain.map_or(lasted, |seen| seen.min(lasted)));
        }
        let first = record.leaving_since.is_none();
        record.endpoint.state = state;
        record.leaving_since.get_or_insert(now);
        if state == EndpointState::Removed {
            self.plan_migration(now, id, 1.0, SHED_DURATION);
        } else if first {
            let lasts = self.shortest_drain.unwrap_or(DEFAULT_DRAIN_TIMEOUT / UNKNOWN_DRAIN_DIVISOR);
            self.plan_migration(now, id, 1.0, (lasts as f64 * DRAIN_MIGRATION_FRACTION) as Micros);
        }
    }
}
