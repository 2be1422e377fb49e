//! Endpoints that operators have put in maintenance: an overlay between discovery's endpoint list and the
//! balancer.
//!
//! The balancer sees an endpoint in maintenance as draining, whatever discovery says of it meanwhile: it gets
//! no new connection and its connections migrate at a pace. After maintenance it counts as restarted, because
//! operators restart what they maintain: its start is the one that discovery reports if that lies after the
//! beginning of the maintenance, and else the end of the maintenance. No I/O, no clock.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Endpoint, EndpointId, EndpointState, Micros};

/// No endpoint of this id was ever named, by the endpoint list or by another process of this relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownEndpoint;

/// The endpoint list as discovery reports it, and the endpoints in maintenance.
///
/// It holds one entry for each listed endpoint, and one id for each endpoint that was ever named.
#[derive(Debug, Default)]
pub struct MaintenanceOverlay {
    /// Endpoints in maintenance, and since when.
    in_maintenance: BTreeMap<EndpointId, Micros>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    known_ids: BTreeSet<EndpointId>,
    /// The last completed maintenance of each endpoint.
    last_windows: BTreeMap<EndpointId, MaintenanceWindow>,
}

/// A completed maintenance of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaintenanceWindow {
    /// Its beginning.
    pub from: Micros,
    /// Its end.
    pub to: Micros,
}

impl MaintenanceOverlay {
    /// Takes endpoints from discovery and returns them as the balancer is to see them.
    ///
    /// `is_full` says that `endpoints` is the whole list and not only what changed.
    pub fn apply_update(&mut self, endpoints: Vec<Endpoint>, is_full: bool) -> Vec<Endpoint> {
        if is_full {
            self.endpoints.clear();
        }
        let mut visible = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            self.known_ids.insert(endpoint.id.clone());
            visible.push(self.overlay(&endpoint));
            match endpoint.state {
                EndpointState::Removed => drop(self.endpoints.remove(&endpoint.id)),
                _ => drop(self.endpoints.insert(endpoint.id.clone(), endpoint)),
            }
        }
        if is_full {
            // An endpoint in maintenance may leave the list and return to it while still in maintenance.
            let unlisted = self.in_maintenance.keys().filter(|id| !self.endpoints.contains_key(*id));
            visible.extend(unlisted.map(|id| unlisted_endpoint(id, EndpointState::Draining)));
        }
        visible
    }

    /// Starts the maintenance of an endpoint and returns it as the balancer is to see it; `None` if it is in
    /// maintenance already.
    ///
    /// # Errors
    /// [`UnknownEndpoint`] if no endpoint of this id was ever named.
    pub fn start_maintenance(
        &mut self, now: Micros, id: &EndpointId,
    ) -> Result<Option<Endpoint>, UnknownEndpoint> {
        if !self.known_ids.contains(id) {
            return Err(UnknownEndpoint);
        }
        Ok(self.restore_maintenance(now, id))
    }

    /// Like [`MaintenanceOverlay::start_maintenance`], for an endpoint that another process of this relay has
    /// in maintenance: its id counts as known.
    pub fn restore_maintenance(&mut self, since: Micros, id: &EndpointId) -> Option<Endpoint> {
        self.known_ids.insert(id.clone());
        if self.in_maintenance.contains_key(id) {
            return None;
        }
        self.in_maintenance.insert(id.clone(), since);
        Some(match self.endpoints.get(id) {
            Some(endpoint) => self.overlay(endpoint),
            None => unlisted_endpoint(id, EndpointState::Draining),
        })
    }

    /// Ends the maintenance of an endpoint and returns it as the balancer is to see it; `None` if it was not
    /// in maintenance.
    ///
    /// # Errors
    /// [`UnknownEndpoint`] if no endpoint of this id was ever named.
    pub fn end_maintenance(
        &mut self, now: Micros, id: &EndpointId,
    ) -> Result<Option<Endpoint>, UnknownEndpoint> {
        let Some(from) = self.in_maintenance.remove(id) else {
            return self.known_ids.contains(id).then_some(None).ok_or(UnknownEndpoint);
        };
        self.last_windows.insert(id.clone(), MaintenanceWindow { from, to: now });
        Ok(Some(match self.endpoints.get(id) {
            Some(endpoint) => self.overlay(endpoint),
            None => unlisted_endpoint(id, EndpointState::Removed),
        }))
    }

    /// Records a maintenance that ended in another process of this relay and returns the endpoint, if listed,
    /// as the balancer is to see it.
    pub fn record_window(&mut self, window: MaintenanceWindow, id: &EndpointId) -> Option<Endpoint> {
        self.known_ids.insert(id.clone());
        if self.last_windows.get(id).is_none_or(|known| known.to < window.to) {
            self.last_windows.insert(id.clone(), window);
        }
        self.endpoints.get(id).map(|endpoint| self.overlay(endpoint))
    }

    /// Marks ready endpoints as draining, which another process of this relay has learnt from a newer
    /// endpoint list, and returns those that changed.
    pub fn mark_draining(&mut self, ids: &[EndpointId]) -> Vec<Endpoint> {
        let mut changed = Vec::new();
        for id in ids {
            let ready = self.endpoints.get_mut(id).filter(|known| known.state == EndpointState::Ready);
            let Some(endpoint) = ready else { continue };
            endpoint.state = EndpointState::Draining;
            changed.push(endpoint.clone());
        }
        changed
    }

    /// The last completed maintenance of each endpoint.
    pub fn last_windows(&self) -> impl Iterator<Item = (&EndpointId, MaintenanceWindow)> {
        self.last_windows.iter().map(|(id, window)| (id, *window))
    }

    /// The endpoints in maintenance, and since when.
    pub fn in_maintenance(&self) -> impl Iterator<Item = (&EndpointId, Micros)> {
        self.in_maintenance.iter().map(|(id, since)| (id, *since))
    }

    /// Whether an endpoint is in maintenance.
    pub fn contains(&self, id: &EndpointId) -> bool {
        self.in_maintenance.contains_key(id)
    }

    /// Number of endpoints that discovery lists.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Number of listed endpoints that get no new connection because they are in maintenance or among
    /// `ejected`; each counts once.
    pub fn count_excluded<'a>(&'a self, ejected: impl Iterator<Item = &'a EndpointId>) -> usize {
        let excluded: BTreeSet<&EndpointId> = self.in_maintenance.keys().chain(ejected).collect();
        excluded.into_iter().filter(|id| self.endpoints.contains_key(*id)).count()
    }

    /// A listed endpoint as the balancer is to see it.
    fn overlay(&self, endpoint: &Endpoint) -> Endpoint {
        let mut visible = endpoint.clone();
        if self.in_maintenance.contains_key(&endpoint.id) {
            visible.state = EndpointState::Draining;
        }
        // Discovery may report the restart late, or never.
        let window = self.last_windows.get(&endpoint.id).filter(|window| endpoint.started_at <= window.from);
        visible.started_at = visible.started_at.max(window.map_or(0, |window| window.to));
        visible
    }
}

/// An endpoint of which only the id and the state are known.
fn unlisted_endpoint(id: &EndpointId, state: EndpointState) -> Endpoint {
    Endpoint { id: id.clone(), state, ..Endpoint::default() }
}
