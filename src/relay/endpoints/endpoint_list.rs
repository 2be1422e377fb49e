//! The relay's endpoint list: discovery's list, in which endpoints in maintenance are marked as draining.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use honeyknot_balancer::maintenance::UnknownEndpoint;
use honeyknot_balancer::{Endpoint, EndpointId, EndpointState, EndpointUpdate, Event};
use honeyknot_discovery::DiscoveryErrorKind;
use honeyknot_metrics::MetricFamily;
use tracing::{info, warn};

use super::discovery_client::{DiscoveryCommand, DiscoveryError, EndpointListUpdate};
use crate::relay::Relay;

/// Returns the value of the metric tag `outcome` for a failed request to discovery.
fn outcome_tag(kind: DiscoveryErrorKind) -> &'static str {
    match kind {
        DiscoveryErrorKind::ConnectionRefused => "refused",
        DiscoveryErrorKind::ConnectionBroken => "broken",
        DiscoveryErrorKind::Overloaded { .. } => "busy",
        DiscoveryErrorKind::Timeout => "silent",
        DiscoveryErrorKind::InvalidResponse => "senseless",
    }
}

impl Relay {
    /// Applies the endpoint list from the configuration, which the relay starts with.
    pub(in crate::relay) fn apply_known_endpoints(&mut self, list: EndpointListUpdate) {
        let update = EndpointUpdate::Cached(self.record_endpoint_list(list));
        self.apply_endpoint_update(update);
    }

    /// Applies an endpoint list received from discovery completely before this returns, so that nothing
    /// more is sent by the old list.
    pub fn apply_endpoint_list(&mut self, list: EndpointListUpdate) {
        if std::mem::take(&mut self.discovery_failing) {
            info!(target: "discovery", version = list.version, "discovery responds again");
        }
        self.discovery_answered_at = self.timers.clock.now();
        let is_full = list.full;
        let is_unchanged = list.endpoints.is_empty() && list.version == self.endpoint_list_version;
        let outcome = if is_unchanged { "quiet" } else { "news" };
        self.update_metrics(|metrics| metrics.increment(MetricFamily::DiscoveryRequests, outcome));
        let endpoints = self.record_endpoint_list(list);
        let update = if is_full { EndpointUpdate::Full(endpoints) } else { EndpointUpdate::Delta(endpoints) };
        self.apply_endpoint_update(update);
    }

    /// Applies what is accepted of an endpoint list that the other process of this relay has sent.
    pub fn apply_shared_list(&mut self, list: EndpointListUpdate) {
        let (version, is_full) = (list.version, list.full);
        if list.endpoints.is_empty() && !is_full {
            self.endpoint_list_version = version;
            return;
        }
        info!(
            target: "hot_restart",
            version, endpoints = list.endpoints.len(), full = is_full, "endpoint list of the other process applied"
        );
        let endpoints = self.record_endpoint_list(list);
        let update = if is_full { EndpointUpdate::Full(endpoints) } else { EndpointUpdate::Delta(endpoints) };
        self.apply_endpoint_update(update);
    }

    /// Returns the endpoints that are listed now, without the effect of maintenance.
    pub(in crate::relay) fn listed_endpoints(&self) -> EndpointListUpdate {
        let endpoints: Vec<Endpoint> = self.maintenance.listed().cloned().collect();
        let address =
            |endpoint: &Endpoint| Some((endpoint.id.clone(), self.endpoints.address(&endpoint.id)?));
        let addresses = endpoints.iter().filter_map(address).collect();
        EndpointListUpdate { version: self.list_origin.version, full: true, endpoints, addresses }
    }

    /// Passes an update to zone failover and to the balancer.
    fn apply_endpoint_update(&mut self, update: EndpointUpdate) {
        self.update_zones(&update);
        self.handle_event(Event::EndpointsUpdated { version: self.endpoint_list_version, update });
    }

    fn record_endpoint_list(&mut self, list: EndpointListUpdate) -> Arc<Vec<Endpoint>> {
        self.endpoint_list_version = list.version;
        self.endpoints.set_addresses(list.addresses);
        let endpoints = self.maintenance.apply_update(list.endpoints, list.full);
        self.record_endpoints(endpoints, list.full)
    }

    /// Records the state of endpoints, with maintenance applied, and returns them for the balancer.
    fn record_endpoints(&mut self, endpoints: Vec<Endpoint>, is_full: bool) -> Arc<Vec<Endpoint>> {
        let mut started_drains = 0;
        for endpoint in &endpoints {
            if let Some(zone) = endpoint.zone {
                self.endpoints.set_zone(&endpoint.id, zone);
            }
            if endpoint.state == EndpointState::Ready {
                self.endpoints.stop_draining(&endpoint.id);
            } else if self.endpoints.start_draining(&endpoint.id) {
                started_drains += u64::from(endpoint.state == EndpointState::Draining);
            }
        }
        self.update_metrics(|metrics| metrics.add(MetricFamily::EndpointDrains, 0, started_drains));
        if is_full {
            self.drain_unlisted_endpoints(&endpoints);
        }
        let removed = endpoints.iter().filter(|endpoint| endpoint.state == EndpointState::Removed);
        removed.for_each(|endpoint| self.endpoints.stop_health_check(&endpoint.id));
        Arc::new(endpoints)
    }

    /// Marks endpoints that a full list does not contain as draining.
    fn drain_unlisted_endpoints(&mut self, listed: &[Endpoint]) {
        let listed: BTreeSet<&EndpointId> = listed.iter().map(|endpoint| &endpoint.id).collect();
        let unlisted: Vec<EndpointId> =
            self.endpoints.with_address().filter(|id| !listed.contains(id)).cloned().collect();
        for id in &unlisted {
            self.endpoints.start_draining(id);
        }
    }

    /// Starts an endpoint's maintenance. After this returns, no new request is sent to it.
    ///
    /// # Errors
    /// If no such endpoint is listed.
    pub fn start_maintenance(&mut self, id: &EndpointId) -> Result<(), UnknownEndpoint> {
        let changed = self.maintenance.start_maintenance(self.timers.clock.now(), id)?;
        self.apply_maintenance_change(changed);
        Ok(())
    }

    /// Ends the maintenance of an endpoint.
    ///
    /// # Errors
    /// If no such endpoint is listed.
    pub fn end_maintenance(&mut self, id: &EndpointId) -> Result<(), UnknownEndpoint> {
        let changed = self.maintenance.end_maintenance(self.timers.clock.now(), id)?;
        self.apply_maintenance_change(changed);
        Ok(())
    }

    /// Returns whether an endpoint is in maintenance.
    pub fn in_maintenance(&self, id: &EndpointId) -> bool {
        self.maintenance.contains(id)
    }

    /// Applies the state that an endpoint has after a maintenance change; does nothing if it is `None`.
    pub(in crate::relay) fn apply_maintenance_change(&mut self, changed: Option<Endpoint>) {
        let Some(endpoint) = changed else { return };
        info!(
            target: "admin",
            endpoint = &*endpoint.id.0,
            state = ?endpoint.state,
            "endpoint maintenance changed"
        );
        let update = EndpointUpdate::Delta(self.record_endpoints(vec![endpoint], false));
        self.apply_endpoint_update(update);
    }

    /// Records a failed request to discovery.
    pub fn discovery_failed(&mut self, error: &DiscoveryError) {
        if !std::mem::replace(&mut self.discovery_failing, true) {
            warn!(target: "discovery", %error, "discovery request failed; keeping the current endpoint list");
        }
        self.update_metrics(|metrics| {
            metrics.add(MetricFamily::DiscoveryFailures, 0, 1);
            metrics.increment(MetricFamily::DiscoveryRequests, outcome_tag(error.kind()));
        });
        self.handle_event(Event::EndpointsUpdated {
            version: self.endpoint_list_version,
            update: EndpointUpdate::Failed,
        });
    }

    /// Returns whether discovery has responded since the relay started.
    pub fn has_discovery_answered(&self) -> bool {
        self.discovery_answered_at > self.started_at
    }

    /// Returns the ids of endpoints that are draining or removed according to discovery, and not in
    /// maintenance.
    pub(in crate::relay) fn draining_endpoints(&self) -> Vec<String> {
        let by_discovery = self.endpoints.draining().filter(|id| !self.maintenance.contains(id));
        by_discovery.map(|id| id.0.as_ref().to_owned()).collect()
    }

    /// Returns the address by which this relay reaches an endpoint; `None` if the endpoint or its address is
    /// unknown.
    pub fn endpoint_address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.endpoints.address(endpoint)
    }

    /// Records that an endpoint refused a connection. If the endpoint is listed as ready, the list may be
    /// stale, and the discovery client is told.
    pub fn connection_refused_by(&self, endpoint: &EndpointId) {
        if !self.endpoints.is_draining(endpoint) {
            self.send_discovery_command(DiscoveryCommand::ConnectionRefused);
        }
    }

    /// Returns whether a request may still be written to an endpoint.
    ///
    /// An attempt that started before its endpoint began to drain may connect only afterwards. By then the
    /// relay counts as notified of the drain and must not send new requests to the endpoint.
    pub fn may_send_to(&self, endpoint: &EndpointId) -> bool {
        !self.endpoints.is_draining(endpoint)
    }
}
