//! Handling of endpoint list updates: endpoints that are added, draining or removed.

use std::collections::BTreeSet;

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::balancer::{Balancer, DISCOVERY_TOKEN};
use crate::endpoint_record::EndpointRecord;
use crate::migration::SHED_DURATION;
use crate::rendezvous::ENDPOINT_HASH_SEED;
use crate::slow_start::SlowStartBudget;
use crate::{Action, Endpoint, EndpointId, EndpointState, EndpointUpdate, Micros};

/// Assumed duration of a drain before one has completed. Migrated clients are remembered for the same time.
pub(crate) const DEFAULT_DRAIN_TIMEOUT: Micros = 30_000_000;
/// Before a drain has completed, migrations are planned for [`DEFAULT_DRAIN_TIMEOUT`] divided by this number.
const UNKNOWN_DRAIN_DIVISOR: Micros = 10;
/// Fraction of the expected duration of a drain within which the connections migrate.
const DRAIN_MIGRATION_FRACTION: f64 = 0.7;
/// Upper limit of the random delay before the endpoint list is first requested, so that balancers that start
/// together do not request it at the same time.
pub(crate) const MAX_INITIAL_DISCOVERY_DELAY: Micros = 2_000_000;
/// Mean delay after the first failed poll of discovery. It doubles with each further failure.
const DISCOVERY_BACKOFF: Micros = 500_000;
/// Maximum number of times that the delay after a failed poll doubles.
const MAX_DISCOVERY_BACKOFF_DOUBLINGS: u32 = 3;

impl Balancer {
    pub(crate) fn update_endpoints(
        &mut self, now: Micros, update: EndpointUpdate, actions: &mut Vec<Action>,
    ) {
        let (endpoints, is_full) = match update {
            EndpointUpdate::Failed => return self.back_off_discovery(actions),
            EndpointUpdate::Cached(endpoints) | EndpointUpdate::Full(endpoints) => (endpoints, true),
            EndpointUpdate::Delta(endpoints) => (endpoints, false),
        };
        self.failed_discovery_polls = 0;
        if is_full {
            self.remove_unlisted(now, &endpoints);
        }
        for endpoint in endpoints.iter() {
            self.update_endpoint(now, endpoint);
        }
        self.update_fleet_estimate(now);
    }

    /// Schedules the next poll of discovery after a random delay that grows with each failure.
    fn back_off_discovery(&mut self, actions: &mut Vec<Action>) {
        let mean = DISCOVERY_BACKOFF << self.failed_discovery_polls.min(MAX_DISCOVERY_BACKOFF_DOUBLINGS);
        self.failed_discovery_polls += 1;
        let delay = self.rng.random_range(mean / 2..=mean + mean / 2);
        actions.push(Action::SetTimer { delay, token: DISCOVERY_TOKEN });
    }

    /// Marks endpoints as removed if they are missing from a full list.
    fn remove_unlisted(&mut self, now: Micros, listed: &[Endpoint]) {
        let listed: BTreeSet<&EndpointId> = listed.iter().map(|endpoint| &endpoint.id).collect();
        let removed: Vec<EndpointId> =
            self.endpoints.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in removed {
            self.mark_leaving(now, &id, EndpointState::Removed);
        }
    }

    fn update_endpoint(&mut self, now: Micros, endpoint: &Endpoint) {
        let is_known = self.endpoints.contains_key(&endpoint.id);
        match endpoint.state {
            EndpointState::Ready => self.add_endpoint(endpoint),
            EndpointState::Draining if !is_known => {
                self.add_endpoint(endpoint);
                self.mark_leaving(now, &endpoint.id, EndpointState::Draining);
            }
            state => self.mark_leaving(now, &endpoint.id, state),
        }
    }

    /// Adds an endpoint. The record of a known endpoint is kept if it has not restarted and is still ready.
    fn add_endpoint(&mut self, endpoint: &Endpoint) {
        let mut connections = BTreeSet::new();
        if let Some(known) = self.endpoints.get_mut(&endpoint.id) {
            if known.endpoint.started_at == endpoint.started_at && known.is_ready() {
                known.endpoint = endpoint.clone();
                return;
            }
            // What was observed of the earlier process does not apply to the new one, but its connections
            // are tracked until they end.
            connections = std::mem::take(&mut known.connections);
        }
        let record = EndpointRecord {
            id_hash: xxh3_64_with_seed(endpoint.id.0.as_bytes(), ENDPOINT_HASH_SEED),
            endpoint: endpoint.clone(),
            connections,
            slow_start: SlowStartBudget::new(self.rng.random()),
            ..EndpointRecord::default()
        };
        self.endpoints.insert(endpoint.id.clone(), record);
    }

    /// Marks an endpoint as draining or removed: it gets no new connections, and all of its connections
    /// migrate.
    fn mark_leaving(&mut self, now: Micros, id: &EndpointId, state: EndpointState) {
        let Some(record) = self.endpoints.get_mut(id) else { return };
        if state == EndpointState::Removed
            && record.endpoint.state == EndpointState::Draining
            && let Some(drain_start) = record.leaving_since
        {
            let drain = now.saturating_sub(drain_start);
            self.shortest_drain = Some(self.shortest_drain.map_or(drain, |shortest| shortest.min(drain)));
        }
        let was_leaving = record.leaving_since.is_some();
        record.endpoint.state = state;
        record.leaving_since.get_or_insert(now);
        if state == EndpointState::Removed {
            self.plan_migration(now, id, 1.0, SHED_DURATION);
        } else if !was_leaving {
            let drain = self.shortest_drain.unwrap_or(DEFAULT_DRAIN_TIMEOUT / UNKNOWN_DRAIN_DIVISOR);
            self.plan_migration(now, id, 1.0, (drain as f64 * DRAIN_MIGRATION_FRACTION) as Micros);
        }
    }
}
