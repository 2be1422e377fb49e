//! Overlay on discovery's endpoint list for endpoints that operators have put in maintenance.
//!
//! The balancer sees an endpoint in maintenance as draining, whatever discovery reports in the meantime: it
//! gets no new connections and its connections migrate gradually. After maintenance it counts as restarted,
//! because operators usually restart the endpoint. Its start time is the one that discovery reports if that
//! is after the beginning of the maintenance, and the end of the maintenance otherwise.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Endpoint, EndpointId, EndpointState, Micros};

/// Neither the endpoint list nor another process of this relay has ever named an endpoint with the given id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownEndpoint;

/// The endpoint list as discovery reports it, and the endpoints in maintenance.
///
/// It stores an entry for each listed endpoint and the id of each endpoint that was ever named.
#[derive(Debug, Default)]
pub struct MaintenanceOverlay {
    /// Endpoints in maintenance, with the time when it began.
    in_maintenance: BTreeMap<EndpointId, Micros>,
    /// Endpoints as discovery lists them.
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Ids of all endpoints that were ever named.
    known_ids: BTreeSet<EndpointId>,
    /// The last completed maintenance of each endpoint.
    last_windows: BTreeMap<EndpointId, MaintenanceWindow>,
}

/// Beginning and end of a completed maintenance of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaintenanceWindow {
    /// When the maintenance began.
    pub from: Micros,
    /// When the maintenance ended.
    pub to: Micros,
}

impl MaintenanceOverlay {
    /// Stores an update from discovery and returns the endpoints as the balancer should see them.
    ///
    /// `is_full` says whether `endpoints` is the complete list instead of only the changed endpoints.
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
            // An endpoint may leave the list and come back to it during its maintenance.
            let unlisted = self.in_maintenance.keys().filter(|id| !self.endpoints.contains_key(*id));
            visible.extend(unlisted.map(|id| unlisted_endpoint(id, EndpointState::Draining)));
        }
        visible
    }

    /// Starts the maintenance of an endpoint and returns the endpoint as the balancer should see it. Returns
    /// `None` if it is already in maintenance.
    ///
    /// # Errors
    /// [`UnknownEndpoint`] if no endpoint with this id was ever named.
    pub fn start_maintenance(
        &mut self, now: Micros, id: &EndpointId,
    ) -> Result<Option<Endpoint>, UnknownEndpoint> {
        if !self.known_ids.contains(id) {
            return Err(UnknownEndpoint);
        }
        Ok(self.restore_maintenance(now, id))
    }

    /// Restores a maintenance that began in another process of this relay. Like
    /// [`MaintenanceOverlay::start_maintenance`], but an unknown id becomes known.
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

    /// Ends the maintenance of an endpoint and returns the endpoint as the balancer should see it. Returns
    /// `None` if it was not in maintenance.
    ///
    /// # Errors
    /// [`UnknownEndpoint`] if no endpoint with this id was ever named.
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

    /// Records a maintenance that ended in another process of this relay. Returns the endpoint as the
    /// balancer should see it, or `None` if it is not listed.
    pub fn record_window(&mut self, window: MaintenanceWindow, id: &EndpointId) -> Option<Endpoint> {
        self.known_ids.insert(id.clone());
        if self.last_windows.get(id).is_none_or(|known| known.to < window.to) {
            self.last_windows.insert(id.clone(), window);
        }
        self.endpoints.get(id).map(|endpoint| self.overlay(endpoint))
    }

    /// Marks endpoints as draining that another process of this relay saw draining in a newer endpoint list.
    /// Returns those that were ready before.
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

    /// Returns the endpoints as discovery lists them.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns the last completed maintenance of each endpoint that had one.
    pub fn last_windows(&self) -> impl Iterator<Item = (&EndpointId, MaintenanceWindow)> {
        self.last_windows.iter().map(|(id, window)| (id, *window))
    }

    /// Returns the endpoints in maintenance, with the time when it began.
    pub fn in_maintenance(&self) -> impl Iterator<Item = (&EndpointId, Micros)> {
        self.in_maintenance.iter().map(|(id, since)| (id, *since))
    }

    /// Returns whether an endpoint is in maintenance.
    pub fn contains(&self, id: &EndpointId) -> bool {
        self.in_maintenance.contains_key(id)
    }

    /// Returns the number of endpoints that discovery lists.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Counts the listed endpoints that get no new connections because they are in maintenance or in
    /// `ejected`. Each endpoint counts once.
    pub fn count_excluded<'a>(&'a self, ejected: impl Iterator<Item = &'a EndpointId>) -> usize {
        let excluded: BTreeSet<&EndpointId> = self.in_maintenance.keys().chain(ejected).collect();
        excluded.into_iter().filter(|id| self.endpoints.contains_key(*id)).count()
    }

    /// Returns a listed endpoint as the balancer should see it.
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

/// Returns an endpoint of which only the id and the state are known.
fn unlisted_endpoint(id: &EndpointId, state: EndpointState) -> Endpoint {
    Endpoint { id: id.clone(), state, ..Endpoint::default() }
}
