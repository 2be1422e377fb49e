//! This relay's connections to zones other than its home zone, and the capacity that they use there.

use std::collections::{BTreeMap, BTreeSet};

use honeyknot_balancer::{AffinityGroup, EndpointId, Micros, RequestId, ZoneId};

/// A connection to another zone, or an attempt to establish one.
#[derive(Debug)]
pub(crate) struct SpilledConnection {
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: ZoneId,
    /// Affinity group of the connection; `None` if it has none.
    pub(crate) group: Option<AffinityGroup>,
    /// Load of the connection, in average connections.
    pub(crate) units: f64,
    /// When the connection was established or, before that, when the attempt started.
    pub(crate) since: Micros,
}

/// Usage of a zone by this relay's connections.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneUsage {
    /// Load of the connections, in average connections.
    units: f64,
    /// Number of pairs of an endpoint and an affinity group that has connections to it.
    groups: u32,
}

/// An established connection. Sorts in the order of migration: one affinity group after another.
type GroupedConnection = (Option<AffinityGroup>, RequestId);

/// All connections of this relay to other zones.
///
/// Usage counts from the start of an attempt, so that a burst of attempts cannot exceed a limit.
#[derive(Debug, Default)]
pub(crate) struct SpilledConnections {
    connections: BTreeMap<RequestId, SpilledConnection>,
    /// Number of connections of each affinity group to each endpoint.
    group_connections: BTreeMap<(EndpointId, AffinityGroup), u32>,
    /// Number of endpoints in each zone to which an affinity group has connections.
    group_endpoints: BTreeMap<(ZoneId, AffinityGroup), u32>,
    usage: BTreeMap<ZoneId, ZoneUsage>,
    established: BTreeMap<ZoneId, BTreeSet<GroupedConnection>>,
}

impl SpilledConnections {
    /// Adds an attempt, replacing an earlier entry for the same connection.
    pub(crate) fn insert(&mut self, id: RequestId, connection: SpilledConnection) {
        self.remove(id);
        let usage = self.usage.entry(connection.zone).or_default();
        usage.units += connection.units;
        if let Some(group) = &connection.group {
            let key = (connection.endpoint.clone(), group.clone());
            let count = self.group_connections.entry(key).or_default();
            *count += 1;
            if *count == 1 {
                usage.groups += 1;
                *self.group_endpoints.entry((connection.zone, group.clone())).or_default() += 1;
            }
        }
        self.connections.insert(id, connection);
    }

    /// Records that a connection has been established.
    pub(crate) fn establish(&mut self, id: RequestId, now: Micros) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.since = now;
        let established = self.established.entry(connection.zone).or_default();
        established.insert((connection.group.clone(), id));
    }

    /// Changes the load of a connection, in average connections.
    pub(crate) fn set_load(&mut self, id: RequestId, units: f64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Some(usage) = self.usage.get_mut(&connection.zone) {
            usage.units = (usage.units + units - connection.units).max(0.0);
        }
        connection.units = units;
    }

    /// Removes a connection or an attempt that has ended.
    pub(crate) fn remove(&mut self, id: RequestId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        let usage = self.usage.entry(connection.zone).or_default();
        usage.units = (usage.units - connection.units).max(0.0);
        if let Some(group) = &connection.group {
            let key = (connection.endpoint.clone(), group.clone());
            if decrement(&mut self.group_connections, &key) {
                usage.groups -= 1;
                decrement(&mut self.group_endpoints, &(connection.zone, group.clone()));
            }
        }
        if let Some(established) = self.established.get_mut(&connection.zone) {
            established.remove(&(connection.group.clone(), id));
        }
    }

    /// Returns the usage of a zone, in average connections, to which each affinity group on each endpoint
    /// adds `group_cost`.
    pub(crate) fn used(&self, zone: ZoneId, group_cost: f64) -> f64 {
        self.usage.get(&zone).map_or(0.0, |usage| usage.units + f64::from(usage.groups) * group_cost)
    }

    /// Returns whether an affinity group has a connection to a zone through this relay.
    pub(crate) fn has_group(&self, zone: ZoneId, group: &AffinityGroup) -> bool {
        self.group_endpoints.contains_key(&(zone, group.clone()))
    }

    /// Returns the number of established connections to other zones.
    pub(crate) fn established_count(&self) -> usize {
        self.established.values().map(BTreeSet::len).sum()
    }

    /// Returns the number of established connections to a zone.
    pub(crate) fn established_at(&self, zone: ZoneId) -> usize {
        self.established.get(&zone).map_or(0, BTreeSet::len)
    }

    /// Returns the next connection to migrate among those established for at least `min_age`; `None` if there
    /// is none. If `zone` is given, only connections to that zone are considered.
    ///
    /// The connection belongs to `group` or, if none of its connections is left, to the next group, so that
    /// the connections of a group are migrated together.
    pub(crate) fn next_to_migrate(
        &self, zone: Option<ZoneId>, group: &Option<AffinityGroup>, now: Micros, min_age: Micros,
    ) -> Option<GroupedConnection> {
        let is_old_enough = |(_, id): &&GroupedConnection| {
            self.connections.get(id).is_some_and(|connection| now >= connection.since + min_age)
        };
        let candidates = || {
            let matching = self.established.iter().filter(|(at, _)| zone.is_none_or(|zone| zone == **at));
            matching.map(|(_, connections)| connections)
        };
        let from = (group.clone(), RequestId(0));
        let following = candidates().filter_map(|set| set.range(from.clone()..).find(is_old_enough)).min();
        following.or_else(|| candidates().filter_map(|set| set.iter().find(is_old_enough)).min()).cloned()
    }
}

/// Decrements a count and removes it when it reaches 0. Returns whether it was removed.
fn decrement<K: Ord>(counts: &mut BTreeMap<K, u32>, key: &K) -> bool {
    let Some(count) = counts.get_mut(key) else { return false };
    *count -= 1;
    let is_zero = *count == 0;
    if is_zero {
        counts.remove(key);
    }
    is_zero
}
