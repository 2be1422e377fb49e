//! Settings of a replica.

use honeyknot_lease::LeaseParameters;

use crate::{Micros, ReplicaId};

/// Settings of one replica; all but `id` are the same for all replicas of a fleet.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Parameters of all leases.
    pub parameters: LeaseParameters,
    /// Number of this replica, from 1.
    pub id: ReplicaId,
    /// Number of replicas.
    pub replica_count: u64,
    /// Interval at which [`crate::Replica::tick`] is called, in microseconds.
    pub tick_interval: Micros,
    /// Minimum election timeout, in microseconds. The timeout of each replica is longer by a delay that
    /// depends on its number.
    pub election_timeout: Micros,
    /// Number of entries that are applied after a snapshot before the next one is taken.
    pub compact_after: u64,
    /// Fencing tokens of a new fleet are greater than this.
    pub tokens_from: u64,
}

impl ReplicaSettings {
    /// Converts a duration to ticks, rounded up, at least 1.
    pub(crate) fn ticks(&self, duration: Micros) -> usize {
        usize::try_from(duration.div_ceil(self.tick_interval.max(1))).unwrap_or(usize::MAX).max(1)
    }
}
