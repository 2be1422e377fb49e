//! Opens, ends and retries the connections of simulated clients.

use std::cmp::Reverse;
use std::ops::Range;
use std::time::Instant;

use honeyknot_balancer::{AffinityGroup, Micros, RequestId, ZoneId, ZoneSet};
use honeyknot_zone_failover::{EndpointSignal, ZoneDecision};
use rand::Rng;

use super::state::{Client, ConnectionEnd, EstablishedConnection, SimulationRun};
use crate::emulators::endpoint_model::{Admission, ConnectionLoad};

/// Delay before a client retries after an endpoint rejected it, in microseconds.
const REJECTED_RETRY_AFTER: Micros = 300_000;
/// Delay before a client reconnects after its connection broke or was migrated, in microseconds.
const RECONNECT_DELAY: Range<Micros> = 52_000..520_000;
/// Number of endpoints that an affinity group prefers.
const PREFERRED_ENDPOINTS: usize = 4;
/// Utilization below which a preferred endpoint is chosen.
const PREFERRED_MAX_UTILIZATION: f64 = 0.65;
/// Number of random endpoints to compare if no preferred one is chosen.
const RANDOM_CANDIDATES: usize = 3;
/// Utilization from which endpoints reject connections.
const REJECT_UTILIZATION: f64 = 1.5;

/// Returns the number that identifies a connection in the model of its endpoint.
fn connection_number(relay: usize, id: RequestId) -> u64 {
    u64::from(id.0) << 16 | relay as u64
}

impl SimulationRun {
    /// Requests a connection from the client's relay.
    pub(super) fn request_connection(&mut self, client: Client) {
        self.report.requests += 1;
        let affinity_group = AffinityGroup(format!("{:x}", client.affinity_group).into());
        let began = Instant::now();
        let decision = self.relays[client.relay].admit(self.now, Some(&affinity_group));
        self.decision_ns.saturating_record(began.elapsed().as_nanos() as u64);
        let allowed_zones = match decision {
            ZoneDecision::Allow(allowed_zones) => allowed_zones,
            ZoneDecision::Reject { retry_after } => return self.reject(client, retry_after),
        };
        let Some(endpoint) = self.choose_endpoint(client.relay, allowed_zones, client.affinity_group) else {
            return self.reject(client, REJECTED_RETRY_AFTER);
        };
        self.open_connection(client, endpoint, &affinity_group);
    }

    /// Opens a connection at the chosen endpoint; if that fails, the client reconnects later.
    fn open_connection(&mut self, client: Client, endpoint: usize, affinity_group: &AffinityGroup) {
        self.serial += 1;
        let (id, relay) = (RequestId(self.serial as u32), client.relay);
        let endpoint_id = self.endpoints[endpoint].id.clone();
        self.relays[relay].attempt_started(self.now, id, &endpoint_id, Some(affinity_group));
        let home = self.home_zone(relay);
        if !self.endpoints[endpoint].is_running {
            let mut actions = Vec::new();
            self.relays[relay].connection_ended(id);
            self.relays[relay].endpoint_signal_received(
                self.now,
                &endpoint_id,
                EndpointSignal::Unresponsive,
                &mut actions,
            );
            self.perform(relay, actions);
            return self.reconnect_later(client);
        }
        let connection = ConnectionLoad {
            load: client.load,
            affinity_group: client.affinity_group,
            is_cross_zone: self.endpoints[endpoint].zone != home,
            relay_zone: home,
        };
        let number = connection_number(relay, id);
        if self.endpoints[endpoint].model.open(self.now, number, connection) == Admission::Rejected {
            self.relays[relay].connection_ended(id);
            return self.reject(client, REJECTED_RETRY_AFTER);
        }
        self.report.served += 1;
        self.relays[relay].connection_established(self.now, id);
        self.relays[relay].connection_load_reported(id, client.load * 1e3);
        self.connection_ends.push(Reverse(ConnectionEnd { due: client.until, relay, id }));
        self.established.insert((relay, id), EstablishedConnection { client, endpoint });
    }

    /// Ends the connections that their clients no longer need.
    pub(super) fn end_due_connections(&mut self) {
        while let Some(Reverse(ConnectionEnd { due, relay, id })) = self.connection_ends.peek().copied() {
            if due > self.now {
                return;
            }
            self.connection_ends.pop();
            self.remove(relay, id);
        }
    }

    /// Ends a connection and returns its client.
    pub(super) fn remove(&mut self, relay: usize, id: RequestId) -> Option<Client> {
        let established = self.established.remove(&(relay, id))?;
        self.endpoints[established.endpoint].model.close(connection_number(relay, id));
        self.relays[relay].connection_ended(id);
        Some(established.client)
    }

    /// Counts a rejection; the client retries after `retry_after`.
    fn reject(&mut self, client: Client, retry_after: Micros) {
        self.report.rejected += 1;
        self.serial += 1;
        self.reconnecting.insert((self.now + retry_after, self.serial), client);
    }

    /// Lets a client reconnect after a random delay.
    pub(super) fn reconnect_later(&mut self, client: Client) {
        self.serial += 1;
        let wait = self.rng.random_range(RECONNECT_DELAY);
        self.reconnecting.insert((self.now + wait, self.serial), client);
    }

    /// Chooses an endpoint in one of the allowed zones: the first of the affinity group's preferred endpoints
    /// that is lightly loaded, else the one with the most spare capacity among some random ones. The order of
    /// preference is a hash of endpoint and affinity group, the same for all relays.
    fn choose_endpoint(
        &mut self, relay: usize, allowed_zones: ZoneSet, affinity_group: u64,
    ) -> Option<usize> {
        let zone = self.choose_zone(relay, allowed_zones)?;
        let endpoints = &self.by_zone[zone];
        let rank = |n: &usize| (*n as u64 ^ affinity_group << 32).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
        let mut ranked: Vec<(u64, usize)> = endpoints.iter().map(|n| (rank(n), *n)).collect();
        ranked.sort_unstable();
        let spare_capacity = |n: &usize| {
            let model = &self.endpoints[*n].model;
            (REJECT_UTILIZATION - model.utilization(self.now)) * model.capacity(self.now)
        };
        let lightly_loaded =
            |n: &usize| self.endpoints[*n].model.utilization(self.now) < PREFERRED_MAX_UTILIZATION;
        let first = ranked.iter().map(|(_, n)| *n).take(PREFERRED_ENDPOINTS).find(lightly_loaded);
        let random = (0..RANDOM_CANDIDATES).map(|_| endpoints[self.rng.random_range(0..endpoints.len())]);
        first.or_else(|| random.max_by(|a, b| spare_capacity(a).total_cmp(&spare_capacity(b))))
    }

    /// Chooses the home zone of the relay if it is allowed, else a random allowed zone.
    fn choose_zone(&mut self, relay: usize, allowed_zones: ZoneSet) -> Option<usize> {
        let home = self.home_zone(relay);
        if allowed_zones.contains(Some(ZoneId(home))) {
            return Some(home);
        }
        let allowed: Vec<usize> =
            (0..self.zones()).filter(|zone| allowed_zones.contains(Some(ZoneId(*zone)))).collect();
        allowed.get(self.rng.random_range(0..allowed.len().max(1))).copied()
    }
}
