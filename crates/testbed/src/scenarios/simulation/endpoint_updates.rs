//! Sends endpoint updates to simulated relays.

use std::cmp::Reverse;
use std::sync::Arc;

use honeyknot_balancer::{CellId, Endpoint, EndpointState, EndpointUpdate, ZoneId};
use rand::Rng;

use super::state::{PendingUpdate, SimulationRun};

impl SimulationRun {
    /// Sends the full endpoint list to every relay, without delay.
    pub(super) fn send_full_list(&mut self) {
        let all: Vec<usize> = (0..self.endpoints.len()).collect();
        let update = EndpointUpdate::Full(Arc::new(self.entries(&all, EndpointState::Ready)));
        for relay in &mut self.relays {
            let mut actions = Vec::new();
            relay.endpoints_updated(self.now, &update, &mut actions);
        }
    }

    /// Sends an update with these endpoints in `state` to every relay, after a random delay for each relay
    /// or, if `in_one_update`, after the same delay for all.
    pub(super) fn publish(&mut self, endpoints: &[usize], state: EndpointState, in_one_update: bool) {
        let number = self.published.len();
        let list = Arc::new(self.entries(endpoints, state));
        self.published.push(list);
        let shared = self.rng.random_range(0..=self.max_update_delay);
        for relay in 0..self.relays.len() {
            let delay = if in_one_update { shared } else { self.rng.random_range(0..=self.max_update_delay) };
            self.pending_updates.push(Reverse(PendingUpdate { due: self.now + delay, relay, number }));
        }
    }

    /// Delivers the updates that are due.
    pub(super) fn deliver_updates(&mut self) {
        while let Some(Reverse(PendingUpdate { due, relay, number })) = self.pending_updates.peek().copied() {
            if due > self.now {
                return;
            }
            self.pending_updates.pop();
            let update = EndpointUpdate::Delta(self.published[number].clone());
            let mut actions = Vec::new();
            self.relays[relay].endpoints_updated(self.now, &update, &mut actions);
            self.perform(relay, actions);
        }
    }

    /// Returns the endpoint list entries of these endpoints, in `state`.
    fn entries(&self, endpoints: &[usize], state: EndpointState) -> Vec<Endpoint> {
        let entry = |n: &usize| {
            let endpoint = &self.endpoints[*n];
            Endpoint {
                id: endpoint.id.clone(),
                machine_type: None,
                weight: endpoint.model.parameters().weight,
                started_at: endpoint.model.started_at(),
                zone: Some(ZoneId(endpoint.zone)),
                cell: CellId(0),
                state,
            }
        };
        endpoints.iter().map(entry).collect()
    }
}
