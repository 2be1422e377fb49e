//! The relay's record of each endpoint: address, zone, draining state and health check task.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use honeyknot_balancer::{EndpointId, ZoneId};
use tokio::sync::mpsc::UnboundedSender;

use super::endpoints::health_check::HealthCheckCommand;

/// The relay's record of an endpoint.
#[derive(Debug, Default)]
struct EndpointEntry {
    /// Address at which this relay reaches the endpoint, from the last update that contained one.
    address: Option<SocketAddr>,
    /// Zone of the endpoint, from the last update that contained one.
    zone: Option<ZoneId>,
    /// Whether the endpoint is draining or removed.
    draining: bool,
    /// Queue of the endpoint's health check task; `None` until the first health check is requested.
    health_check_queue: Option<UnboundedSender<HealthCheckCommand>>,
}

/// All endpoints that discovery has listed since the start, by id.
///
/// Address, zone and draining state are kept when an endpoint is removed from the list; its health check task
/// ends.
#[derive(Debug, Default)]
pub(in crate::relay) struct EndpointTable {
    entries: BTreeMap<EndpointId, EndpointEntry>,
}

impl EndpointTable {
    fn entry(&mut self, id: &EndpointId) -> &mut EndpointEntry {
        self.entries.entry(id.clone()).or_default()
    }

    /// Sets the addresses of endpoints.
    pub(in crate::relay) fn set_addresses(&mut self, addresses: Vec<(EndpointId, SocketAddr)>) {
        for (id, address) in addresses {
            self.entry(&id).address = Some(address);
        }
    }

    /// Returns the address at which this relay reaches an endpoint, or `None` if it is unknown.
    pub(in crate::relay) fn address(&self, id: &EndpointId) -> Option<SocketAddr> {
        self.entries.get(id)?.address
    }

    /// Returns the endpoints whose address is known, in the order of their ids.
    pub(in crate::relay) fn with_address(&self) -> impl Iterator<Item = &EndpointId> {
        self.entries.iter().filter(|(_, entry)| entry.address.is_some()).map(|(id, _)| id)
    }

    /// Returns the endpoints that accept connections and whose address is known, in the order of their ids.
    pub(in crate::relay) fn serving(&self) -> impl Iterator<Item = &EndpointId> {
        let serving = |entry: &EndpointEntry| entry.address.is_some() && !entry.draining;
        self.entries.iter().filter(move |(_, entry)| serving(entry)).map(|(id, _)| id)
    }

    /// Sets an endpoint's zone.
    pub(in crate::relay) fn set_zone(&mut self, id: &EndpointId, zone: ZoneId) {
        self.entry(id).zone = Some(zone);
    }

    /// Returns an endpoint's zone, or `None` if it is unknown.
    pub(in crate::relay) fn zone(&self, id: &EndpointId) -> Option<ZoneId> {
        self.entries.get(id)?.zone
    }

    /// Marks an endpoint as draining or removed; returns `false` if it was marked already.
    pub(in crate::relay) fn start_draining(&mut self, id: &EndpointId) -> bool {
        !std::mem::replace(&mut self.entry(id).draining, true)
    }

    /// Marks an endpoint as accepting connections.
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

    /// Returns the queue of an endpoint's health check task; `start` starts the task if there is none.
    pub(in crate::relay) fn health_check_queue(
        &mut self, id: &EndpointId, start: impl FnOnce() -> UnboundedSender<HealthCheckCommand>,
    ) -> &UnboundedSender<HealthCheckCommand> {
        self.entry(id).health_check_queue.get_or_insert_with(start)
    }

    /// Ends an endpoint's health check task.
    pub(in crate::relay) fn stop_health_check(&mut self, id: &EndpointId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.health_check_queue = None;
        }
    }
}
