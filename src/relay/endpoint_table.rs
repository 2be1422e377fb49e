//! What the relay knows of each endpoint: address, zone, draining state and the health check task.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use honeyknot_balancer::{EndpointId, ZoneId};
use tokio::sync::mpsc::UnboundedSender;

use super::endpoints::health_check::HealthCheckCommand;

/// One endpoint as the relay knows it.
#[derive(Debug, Default)]
struct EndpointEntry {
    /// Where this relay reaches it, by the last update that named an address.
    address: Option<SocketAddr>,
    /// Its zone, by the last update that named one.
    zone: Option<ZoneId>,
    /// Whether it is draining or removed.
    draining: bool,
    /// The task that checks its health, once one was asked for.
    health_check: Option<UnboundedSender<HealthCheckCommand>>,
}

/// All endpoints that discovery has listed since the start, by id.
///
/// Address, zone and draining state outlast an endpoint's removal from the list; its health check does not.
#[derive(Debug, Default)]
pub(in crate::relay) struct EndpointTable {
    entries: BTreeMap<EndpointId, EndpointEntry>,
}

impl EndpointTable {
    fn entry(&mut self, id: &EndpointId) -> &mut EndpointEntry {
        self.entries.entry(id.clone()).or_default()
    }

    /// Notes where endpoints are reached.
    pub(in crate::relay) fn set_addresses(&mut self, addresses: Vec<(EndpointId, SocketAddr)>) {
        for (id, address) in addresses {
            self.entry(&id).address = Some(address);
        }
    }

    /// Returns where this relay reaches an endpoint.
    pub(in crate::relay) fn address(&self, id: &EndpointId) -> Option<SocketAddr> {
        self.entries.get(id)?.address
    }

    /// Returns the endpoints whose address is known, in the order of their ids.
    pub(in crate::relay) fn with_address(&self) -> impl Iterator<Item = &EndpointId> {
        self.entries.iter().filter(|(_, entry)| entry.address.is_some()).map(|(id, _)| id)
    }

    /// Returns the endpoints whose address is known and that take connections, in the order of their ids.
    pub(in crate::relay) fn serving(&self) -> impl Iterator<Item = &EndpointId> {
        let serving = |entry: &EndpointEntry| entry.address.is_some() && !entry.draining;
        self.entries.iter().filter(move |(_, entry)| serving(entry)).map(|(id, _)| id)
    }

    /// Notes an endpoint's zone.
    pub(in crate::relay) fn set_zone(&mut self, id: &EndpointId, zone: ZoneId) {
        self.entry(id).zone = Some(zone);
    }

    /// Returns an endpoint's zone.
    pub(in crate::relay) fn zone(&self, id: &EndpointId) -> Option<ZoneId> {
        self.entries.get(id)?.zone
    }

    /// Notes that an endpoint is draining or removed; true if it was not before.
    pub(in crate::relay) fn start_draining(&mut self, id: &EndpointId) -> bool {
        !std::mem::replace(&mut self.entry(id).draining, true)
    }

    /// Notes that an endpoint takes connections.
    pub(in crate::relay) fn stop_draining(&mut self, id: &EndpointId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.draining = false;
        }
    }

    /// Returns whether an endpoint is draining or removed.
    pub(in crate::relay) fn is_draining(&self, id: &EndpointId) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.draining)
    }

    /// Returns the endpoints that are draining or removed, in the order of their ids.
    pub(in crate::relay) fn draining(&self) -> impl Iterator<Item = &EndpointId> {
        self.entries.iter().filter(|(_, entry)| entry.draining).map(|(id, _)| id)
    }

    /// Returns the queue of an endpoint's health check task, which `start` starts if there is none.
    pub(in crate::relay) fn health_check(
        &mut self, id: &EndpointId, start: impl FnOnce() -> UnboundedSender<HealthCheckCommand>,
    ) -> &UnboundedSender<HealthCheckCommand> {
        self.entry(id).health_check.get_or_insert_with(start)
    }

    /// Ends an endpoint's health check task.
    pub(in crate::relay) fn stop_health_check(&mut self, id: &EndpointId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.health_check = None;
        }
    }
}
