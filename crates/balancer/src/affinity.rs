//! Sticky endpoints of clients, and the endpoints of affinity groups.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::balancer::Balancer;
use crate::discovery::DEFAULT_DRAIN_TIMEOUT;
use crate::endpoint_record::EndpointRecord;
use crate::rendezvous::{GROUP_HASH_SEED, rendezvous_score};
use crate::request_state::RequestState;
use crate::unreported_load::is_unreported;
use crate::{AffinityGroup, EndpointId, EndpointState, Micros, Request, SessionKey, zone_affinity};

/// A returning client goes back to its sticky endpoint only below this load.
const MAX_STICKY_LOAD: f64 = 0.75;
/// Maximum number of sticky endpoints. Above it, the older ones are forgotten.
const MAX_STICKY_ENDPOINTS: usize = 20_000;

/// An affinity group uses a further endpoint when the load of its endpoints is this far above the fleet's
/// mean.
const SPILL_MARGIN: f64 = 0.15;
/// Below this load, a group uses no further endpoint, whatever the fleet's mean load.
const MIN_SPILL_LOAD: f64 = 0.6;
/// Above this load, a group uses a further endpoint, whatever the fleet's mean load.
const MAX_SPILL_LOAD: f64 = 0.68;

/// Least number of endpoints of a group. A single one would receive a whole surge before reports show it.
const MIN_GROUP_ENDPOINTS: usize = 2;
/// Least number of endpoints of a group if there are more balancers than endpoints. Each balancer then has
/// too few connections of a group to split them.
const MIN_GROUP_ENDPOINTS_OF_LARGE_FLEET: usize = 1;
/// Added to the number of a group's connections when its share is estimated, to account for the requested
/// connection.
const GROUP_PRIOR_CONNECTIONS: f64 = 0.3;
/// Added to the number of all connections when a group's share is estimated, so that a group does not seem
/// large because there are few connections.
const GROUP_SHARE_SMOOTHING: f64 = 8.0;
/// Lower limit of the fleet's mean load when the number of a group's endpoints is calculated. Right after a
/// start, reports do not show the load yet.
const MIN_GROUP_LOAD: f64 = 0.5;

/// The endpoint of a client's last connection.
#[derive(Clone, Debug)]
pub(crate) struct StickyEndpoint {
    pub(crate) endpoint: EndpointId,
    pub(crate) established_at: Micros,
}

/// Returns the rendezvous salt of a request's affinity group; `None` if the request has no group.
pub(crate) fn group_salt(request: &Request) -> Option<u64> {
    let group = request.affinity_group.as_ref()?;
    Some(xxh3_64_with_seed(group.0.as_bytes(), GROUP_HASH_SEED))
}

impl Balancer {
    pub(crate) fn set_sticky_endpoint(&mut self, now: Micros, key: &SessionKey, endpoint: EndpointId) {
        self.sticky_endpoints.insert(key.hash(), StickyEndpoint { endpoint, established_at: now });
    }

    /// Returns the endpoint of the client's last connection if the request may go there.
    ///
    /// A mid-flow request may also go to an endpoint that began to drain only recently.
    pub(crate) fn sticky_endpoint(&self, state: &RequestState, now: Micros) -> Option<EndpointId> {
        let key = state.request.session_key.as_ref()?.hash();
        if self.migrated_clients.contains_key(&key) {
            return None;
        }
        let id = &self.sticky_endpoints.get(&key)?.endpoint;
        let record = self.endpoints.get(id)?;
        let accepts_mid_flow = state.request.mid_flow && self.is_in_drain_grace(record, now);
        let may_go_there = (record.is_ready() || accepts_mid_flow)
            && !state.failed_endpoints.contains(id)
            && self.may_send(state, &record.endpoint, now);
        may_go_there.then(|| id.clone())
    }

    /// Returns whether an endpoint has been draining for less than half the time after which sends must stop.
    fn is_in_drain_grace(&self, record: &EndpointRecord, now: Micros) -> bool {
        let grace = self.settings.rules.drain_grace / 2;
        record.endpoint.state == EndpointState::Draining
            && record.leaving_since.is_some_and(|since| now.saturating_sub(since) < grace)
    }

    /// Returns whether a client's sticky endpoint has capacity for the client.
    pub(crate) fn has_sticky_capacity(&self, id: &EndpointId, now: Micros) -> bool {
        self.endpoints.get(id).is_some_and(|record| {
            self.estimated_load(record, now) < MAX_STICKY_LOAD
                && !record.has_slow_messages(now)
                && self.slow_start_admits(record, now)
        })
    }

    /// Forgets sticky endpoints older than the mean if there are too many, and migrated clients that have not
    /// reconnected in time.
    pub(crate) fn forget_old_clients(&mut self, now: Micros) {
        if self.sticky_endpoints.len() > MAX_STICKY_ENDPOINTS {
            let times = self.sticky_endpoints.values().map(|sticky| sticky.established_at);
            let mean = times.sum::<Micros>() / self.sticky_endpoints.len() as Micros;
            self.sticky_endpoints.retain(|_, sticky| sticky.established_at > mean);
        }
        self.migrated_clients
            .retain(|_, client| now.saturating_sub(client.migrated_at) < DEFAULT_DRAIN_TIMEOUT);
    }

    /// Returns whether an endpoint comes so late in the rendezvous order of a request's group that the group
    /// does not need it.
    pub(crate) fn is_misplaced(&self, request: &Request, record: &EndpointRecord, now: Micros) -> bool {
        let Some(salt) = group_salt(request) else { return false };
        let global_score = |record: &EndpointRecord| {
            rendezvous_score(salt, record.id_hash, self.endpoint_weight(record, now))
        };
        let copy_cost = self.group_copy_cost(request);
        let needed = self.group_endpoint_count(request);
        let own_global = global_score(record);
        let own_local = own_global * self.distance_penalty(record, copy_cost);
        let (mut before_global, mut before_local) = (0, 0);
        for other in self.endpoints.values().filter(|other| other.is_ready()) {
            let other_global = global_score(other);
            let other_local = other_global * self.distance_penalty(other, copy_cost);
            before_global += usize::from(other_global < own_global);
            before_local += usize::from(other_local < own_local);
        }
        before_global > needed && before_local > needed
    }

    /// Returns the load at which an endpoint gets no new connections of a group while other endpoints have
    /// capacity.
    pub(crate) fn spill_load(&self) -> f64 {
        (self.fleet_estimate.mean_load + SPILL_MARGIN).clamp(MIN_SPILL_LOAD, MAX_SPILL_LOAD)
    }

    /// Estimates the fraction of all connections that belong to a group.
    fn group_share(&self, group: &AffinityGroup) -> f64 {
        let connections = self.group_connections.get(group).copied().unwrap_or(0);
        let own = connections as f64 + GROUP_PRIOR_CONNECTIONS;
        own / (self.connection_count as f64 + GROUP_SHARE_SMOOTHING)
    }

    /// Returns the number of endpoints that the request's group needs, estimated from the group's share of
    /// this balancer's connections. A request without a group has no limit.
    pub(crate) fn group_endpoint_count(&self, request: &Request) -> usize {
        let Some(group) = &request.affinity_group else { return usize::MAX };
        let load = self.fleet_estimate.mean_load.max(MIN_GROUP_LOAD);
        let local_endpoints = self.fleet_estimate.local_endpoints as f64;
        let needed = self.group_share(group) * local_endpoints * load / MIN_SPILL_LOAD;
        let has_more_balancers = self.settings.fleet_size as usize > self.fleet_estimate.ready_endpoints;
        let min = if has_more_balancers { MIN_GROUP_ENDPOINTS_OF_LARGE_FLEET } else { MIN_GROUP_ENDPOINTS };
        (needed.ceil() as usize).max(min)
    }

    /// Returns whether an endpoint counts as local: in this balancer's zone, or anywhere if crossing zones is
    /// free or zones are unknown.
    pub(crate) fn is_local(&self, record: &EndpointRecord) -> bool {
        let zones = self.settings.zone.zip(record.endpoint.zone);
        zones.is_none_or(|(own, other)| own == other) || self.settings.prices.cross_zone == 0.0
    }

    /// Returns the factor, 1 or more, by which an endpoint's score is multiplied because of its zone.
    pub(crate) fn distance_penalty(&self, record: &EndpointRecord, copy_cost: f64) -> f64 {
        if self.is_local(record) {
            return 1.0;
        }
        zone_affinity::cross_zone_penalty(self.settings.prices.cross_zone, copy_cost)
    }

    /// Returns the cost of endpoints in this zone for the request's group, per connection of the group, in
    /// mean connections.
    ///
    /// It is 0 if endpoints report their load, because a full zone then spills over to other zones.
    pub(crate) fn group_copy_cost(&self, request: &Request) -> f64 {
        let Some(group) = &request.affinity_group else { return 0.0 };
        if !is_unreported(&self.settings) {
            return 0.0;
        }
        let estimate = &self.fleet_estimate;
        let local_fraction = estimate.local_endpoints as f64 / estimate.ready_endpoints.max(1) as f64;
        let own = self.group_share(group) * self.connection_count as f64;
        zone_affinity::copy_cost(own * self.fleet_size() * local_fraction)
    }
}
