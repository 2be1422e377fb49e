//! Sticky endpoints of clients and the endpoints of an affinity group.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::balancer::Balancer;
use crate::endpoint_record::EndpointRecord;
use crate::rendezvous::rendezvous_order;
use crate::request_state::RequestState;
use crate::unreported_load::is_unreported;
use crate::{AffinityGroup, EndpointId, EndpointState, Micros, Request, zone_affinity};

/// A group takes a further endpoint when its endpoints' load is this far above the fleet's mean ...
pub(crate) const SPILL_MARGIN: f64 = 0.15;
/// ... within these bounds.
pub(crate) const MIN_SPILL_LOAD: f64 = 0.6;
pub(crate) const MAX_SPILL_LOAD: f64 = 0.68;
/// Endpoints for a group at the least, as one alone would take all of a wave that no report shows yet; but
/// one where balancers outnumber endpoints: each sees too little of a group to split it, and every split
/// costs.
pub(crate) const MIN_GROUP_ENDPOINTS: usize = 2;
/// What a connection asked for adds to its group's own: one makes a group look large to who sees few.
pub(crate) const GROUP_PRIOR_CONNECTIONS: f64 = 0.3;
/// Own connections by which the share of a group is doubted while there are few.
pub(crate) const GROUP_SHARE_SMOOTHING: f64 = 8.0;
/// Load of the fleet that is allowed for at the least: at a start the reports have not caught up.
pub(crate) const MIN_GROUP_LOAD: f64 = 0.5;

/// What seeds the race of the request's group.
pub(crate) fn group_salt(request: &Request) -> Option<u64> {
    request.affinity_group.as_ref().map(|group| xxh3_64_with_seed(group.0.as_bytes(), 2))
}

impl Balancer {
    /// Where this client's connection was last, if it may go there.
    pub(crate) fn sticky_endpoint(&self, state: &RequestState, now: Micros) -> Option<EndpointId> {
        let key =
            state.request.session_key.as_ref().filter(|key| !self.migrated_clients.contains_key(*key))?;
        let (id, _) = self.sticky_endpoints.get(key)?;
        let record = self.endpoints.get(id)?;
        let grace = self.settings.rules.drain_grace / 2;
        let drains_still = state.request.mid_flow
            && record.endpoint.state == EndpointState::Draining
            && record.leaving_since.is_some_and(|told| now.saturating_sub(told) < grace);
        let fit = (record.is_ready() || drains_still) && !state.failed_endpoints.contains(id);
        (fit && self.may_send(state, &record.endpoint, now)).then(|| id.clone())
    }

    /// Whether an endpoint comes so late in its group's race that the group has no need of it.
    pub(crate) fn is_misplaced(&self, request: &Request, record: &EndpointRecord, now: Micros) -> bool {
        let Some(salt) = group_salt(request) else { return false };
        let place = |s: &EndpointRecord| rendezvous_order(salt, s.id_hash, self.endpoint_weight(s, now));
        let (copy, need) = (self.group_copy_cost(request), self.group_endpoint_count(request));
        let (own, far) = (place(record), self.distance_penalty(record, copy));
        let (mut before_wide, mut before_near) = (0, 0);
        for other in self.endpoints.values().filter(|s| s.is_ready()) {
            let theirs = place(other);
            before_wide += usize::from(theirs < own);
            before_near += usize::from(theirs * self.distance_penalty(other, copy) < own * far);
        }
        before_wide > need && before_near > need
    }

    /// The part of all connections that a group probably has.
    pub(crate) fn group_share(&self, group: &AffinityGroup) -> f64 {
        let own = self.group_connections.get(group).copied().unwrap_or(0) as f64 + GROUP_PRIOR_CONNECTIONS;
        own / (self.connection_count as f64 + GROUP_SHARE_SMOOTHING)
    }

    /// How many endpoints a group needs, going by this balancer's share of it.
    pub(crate) fn group_endpoint_count(&self, request: &Request) -> usize {
        let Some(group) = &request.affinity_group else { return usize::MAX };
        let load = self.fleet_estimate.mean_load.max(MIN_GROUP_LOAD);
        let endpoints =
            self.group_share(group) * self.fleet_estimate.local_endpoints as f64 * load / MIN_SPILL_LOAD;
        let many = self.settings.fleet_size as usize > self.fleet_estimate.ready_endpoints;
        (endpoints.ceil() as usize).max(if many { 1 } else { MIN_GROUP_ENDPOINTS })
    }

    /// Whether an endpoint is of the own zone, or as good as that where crossing costs nothing.
    pub(crate) fn is_local(&self, record: &EndpointRecord) -> bool {
        let zones = self.settings.zone.zip(record.endpoint.zone);
        zones.is_none_or(|(own, zone)| own == zone) || self.settings.prices.cross_zone == 0.0
    }

    /// How much crossing zones slows an endpoint down in the race of a group whose copy costs so much.
    pub(crate) fn distance_penalty(&self, record: &EndpointRecord, copy: f64) -> f64 {
        if self.is_local(record) {
            1.0
        } else {
            zone_affinity::slowdown(self.settings.prices.cross_zone, copy)
        }
    }

    /// What it costs each connection of the request's group that the own zone has an endpoint of its own for
    /// it.
    pub(crate) fn group_copy_cost(&self, request: &Request) -> f64 {
        // Where loads are reported, the spill to other zones is what spares a full one.
        let Some(group) = request.affinity_group.as_ref().filter(|_| is_unreported(&self.settings)) else {
            return 0.0;
        };
        let near =
            self.fleet_estimate.local_endpoints as f64 / self.fleet_estimate.ready_endpoints.max(1) as f64;
        zone_affinity::copy_cost(
            self.group_share(group) * self.connection_count as f64 * self.fleet_size() * near,
        )
    }
}
