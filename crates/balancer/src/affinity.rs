//! Sticky endpoints of clients and the endpoints of an affinity group.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::balancer::Balancer;
use crate::endpoint_record::Server;
use crate::rendezvous::race;
use crate::request_state::Flow;
use crate::unreported_load::is_blind;
use crate::{AffinityGroup, EndpointId, EndpointState, Micros, Request, zone_affinity};

/// A group takes a further server when its servers' load is this far above the fleet's mean ...
pub(crate) const SPILL_ABOVE: f64 = 0.15;
/// ... within these bounds.
pub(crate) const SPILL_LEAST: f64 = 0.6;
pub(crate) const SPILL_MOST: f64 = 0.68;
/// Servers for a group at the least, as one alone would take all of a wave that no report shows yet; but one
/// where balancers outnumber servers: each sees too little of a group to split it, and every split costs.
pub(crate) const GROUP_SET: usize = 2;
/// What a connection asked for adds to its group's own: one makes a group look large to who sees few.
pub(crate) const GROUP_FIRST: f64 = 0.3;
/// Own connections by which the share of a group is doubted while there are few.
pub(crate) const GROUP_DOUBT: f64 = 8.0;
/// Load of the fleet that is allowed for at the least: at a start the reports have not caught up.
pub(crate) const GROUP_LOAD: f64 = 0.5;

/// What seeds the race of the request's group.
pub(crate) fn group_salt(request: &Request) -> Option<u64> {
    request.affinity_group.as_ref().map(|group| xxh3_64_with_seed(group.0.as_bytes(), 2))
}

impl Balancer {
    /// Where this client's connection was last, if it may go there.
    pub(crate) fn home(&self, flow: &Flow, now: Micros) -> Option<EndpointId> {
        let key = flow.request.session_key.as_ref().filter(|key| !self.moved.contains_key(*key))?;
        let (id, _) = self.homes.get(key)?;
        let server = self.servers.get(id)?;
        let grace = self.settings.rules.drain_grace / 2;
        let drains_still = flow.request.mid_flow
            && server.entry.state == EndpointState::Draining
            && server.leaving.is_some_and(|told| now.saturating_sub(told) < grace);
        let fit = (server.ready() || drains_still) && !flow.tried.contains(id);
        (fit && self.may_send(flow, &server.entry, now)).then(|| id.clone())
    }

    /// Whether a server comes so late in its group's race that the group has no need of it.
    pub(crate) fn stray(&self, request: &Request, server: &Server, now: Micros) -> bool {
        let Some(salt) = group_salt(request) else { return false };
        let place = |s: &Server| race(salt, s.hash, self.weight(s, now));
        let (copy, need) = (self.copy_cost(request), self.group_set(request));
        let (own, far) = (place(server), self.far(server, copy));
        let (mut before_wide, mut before_near) = (0, 0);
        for other in self.servers.values().filter(|s| s.ready()) {
            let theirs = place(other);
            before_wide += usize::from(theirs < own);
            before_near += usize::from(theirs * self.far(other, copy) < own * far);
        }
        before_wide > need && before_near > need
    }

    /// The part of all connections that a group probably has.
    pub(crate) fn group_share(&self, group: &AffinityGroup) -> f64 {
        let own = self.groups.get(group).copied().unwrap_or(0) as f64 + GROUP_FIRST;
        own / (self.standing as f64 + GROUP_DOUBT)
    }

    /// How many servers a group needs, going by this balancer's share of it.
    pub(crate) fn group_set(&self, request: &Request) -> usize {
        let Some(group) = &request.affinity_group else { return usize::MAX };
        let load = self.fleet.mean_load.max(GROUP_LOAD);
        let servers = self.group_share(group) * self.fleet.near as f64 * load / SPILL_LEAST;
        let many = self.settings.fleet_size as usize > self.fleet.ready;
        (servers.ceil() as usize).max(if many { 1 } else { GROUP_SET })
    }

    /// Whether a server is of the own zone, or as good as that where crossing costs nothing.
    pub(crate) fn near(&self, server: &Server) -> bool {
        let zones = self.settings.zone.zip(server.entry.zone);
        zones.is_none_or(|(own, zone)| own == zone) || self.settings.prices.cross_zone == 0.0
    }

    /// How much crossing zones slows a server down in the race of a group whose copy costs so much.
    pub(crate) fn far(&self, server: &Server, copy: f64) -> f64 {
        if self.near(server) { 1.0 } else { zone_affinity::slowdown(self.settings.prices.cross_zone, copy) }
    }

    /// What it costs each connection of the request's group that the own zone has a server of its own for it.
    pub(crate) fn copy_cost(&self, request: &Request) -> f64 {
        // Where loads are reported, the spill to other zones is what spares a full one.
        let Some(group) = request.affinity_group.as_ref().filter(|_| is_blind(&self.settings)) else {
            return 0.0;
        };
        let near = self.fleet.near as f64 / self.fleet.ready.max(1) as f64;
        zone_affinity::copy_cost(self.group_share(group) * self.standing as f64 * self.balancers() * near)
    }
}
