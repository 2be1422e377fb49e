//! The relay's budget of file descriptors for connections and health checks.

use super::Relay;
use super::counter::{Counter, CounterGuard};
use crate::admin;

/// Descriptors reserved for everything but connections: standard streams, the runtime, the listeners,
/// discovery.
const RESERVED_DESCRIPTORS: usize = 32;
/// Number of free descriptors at or below which accepting pauses and no permit is granted.
const MIN_FREE_DESCRIPTORS: usize = 12;
/// When descriptors are scarce, idle connections may hold at most one descriptor in this many; the rest is for
/// established connections, which take two each.
const IDLE_CONNECTIONS_DIVISOR: usize = 4;
/// Connections that wait to be adopted may be at most one in this many descriptors: the share of the descriptors
/// that clients hold for requests.
const WAITING_ADOPTIONS_DIVISOR: usize = 3;
/// During a hot restart a process may use at least one descriptor in this many of the shared limit.
const MIN_SHARE_DIVISOR: usize = 4;

/// Permission to use one descriptor; dropping it returns the descriptor to the budget.
#[derive(Debug)]
pub struct DescriptorPermit(#[expect(dead_code, reason = "counts until it is dropped")] CounterGuard);

impl DescriptorPermit {
    /// Counts one more descriptor as in use, without checking the limit.
    pub(in crate::relay) fn new(in_use: &Counter) -> DescriptorPermit {
        DescriptorPermit(in_use.add_one())
    }
}

/// Returns the process's limit on descriptors less those for operators' connections. The reserve of
/// `RESERVED_DESCRIPTORS` is not subtracted.
pub(in crate::relay) fn connection_descriptor_limit(process_limit: usize, admin_enabled: bool) -> usize {
    process_limit.saturating_sub(if admin_enabled { admin::server::MAX_DESCRIPTORS } else { 0 })
}

impl Relay {
    /// Returns how many descriptors this process may use, without those that its predecessor still holds:
    /// during a hot restart both processes share one limit.
    fn descriptor_limit(&self) -> usize {
        let min_share = self.max_descriptors / MIN_SHARE_DIVISOR;
        self.max_descriptors.saturating_sub(self.listener_ownership.predecessor_descriptors()).max(min_share)
    }

    /// Returns a permit for one descriptor.
    ///
    /// If only the reserve of `RESERVED_DESCRIPTORS` is left, an idle connection is evicted for each permit.
    /// Returns `None` if no connection is idle then, or if no more than `MIN_FREE_DESCRIPTORS` are free.
    pub fn acquire_descriptor(&self) -> Option<DescriptorPermit> {
        let in_use = self.descriptors_in_use.get();
        let descriptor_limit = self.descriptor_limit();
        let only_reserve_left = in_use >= descriptor_limit.saturating_sub(RESERVED_DESCRIPTORS);
        let reserve_available = in_use < descriptor_limit.saturating_sub(MIN_FREE_DESCRIPTORS);
        (!only_reserve_left || reserve_available && self.idle_connections.evict_one())
            .then(|| DescriptorPermit::new(&self.descriptors_in_use))
    }

    /// Returns a guard of the limit on connections that wait to be adopted, or `None` if there are too many.
    ///
    /// They may wait long and occupy two descriptors each, and any client can ask for an endpoint that does not
    /// exist.
    pub(in crate::relay) fn admit_adoption(&self) -> Option<CounterGuard> {
        let limit = self.max_descriptors / WAITING_ADOPTIONS_DIVISOR;
        (self.waiting_adoptions.get() < limit).then(|| self.waiting_adoptions.add_one())
    }

    /// Makes room for one more idle connection, by eviction if necessary. Returns `false` if descriptors are
    /// exhausted: the caller tries again once the evicted connection has been closed.
    pub(in crate::relay) fn make_room_for_idle_connection(&self) -> bool {
        let descriptor_limit = self.descriptor_limit();
        let idle_share = descriptor_limit / IDLE_CONNECTIONS_DIVISOR;
        // A successor may use its share of the limit at any time, so that share does not count as free.
        let available = descriptor_limit.saturating_sub(self.descriptors_in_use.get() + RESERVED_DESCRIPTORS);
        let is_scarce = available <= self.max_descriptors / MIN_SHARE_DIVISOR;
        if is_scarce && self.idle_connections.len() >= idle_share {
            self.idle_connections.evict_one();
        }
        let is_exhausted =
            self.descriptors_in_use.get() >= descriptor_limit.saturating_sub(MIN_FREE_DESCRIPTORS);
        if is_exhausted {
            self.idle_connections.evict_one();
        }
        !is_exhausted
    }
}
