//! The relay's budget of file descriptors: who holds one, and who may take another.

use std::cell::Cell;
use std::rc::Rc;

use super::Relay;
use crate::admin;

/// Descriptors kept for everything that is no connection: standard streams, the runtime, the listeners, discovery.
const RESERVED_DESCRIPTORS: usize = 32;
/// What is left of the reserve when accepting pauses.
const MIN_FREE_DESCRIPTORS: usize = 12;
/// Idle connections hold at most one descriptor in this many: an established connection takes two, and needs the rest.
const IDLE_CONNECTIONS_DIVISOR: usize = 4;
/// A process keeps at least one descriptor in this many while it shares the limit with its successor.
const MIN_SHARE_DIVISOR: usize = 4;

/// The number of descriptors in use, shared by all permits.
#[derive(Clone, Debug, Default)]
pub(in crate::relay) struct DescriptorCounter(Rc<Cell<usize>>);

impl DescriptorCounter {
    /// Returns how many descriptors are in use.
    pub(in crate::relay) fn get(&self) -> usize {
        self.0.get()
    }
}

/// One descriptor in use; dropping it returns it to the budget.
#[derive(Debug)]
pub struct DescriptorPermit(DescriptorCounter);

impl DescriptorPermit {
    /// Counts one more descriptor, whether or not the limit allows it.
    pub(in crate::relay) fn new(counter: &DescriptorCounter) -> DescriptorPermit {
        counter.0.set(counter.get() + 1);
        DescriptorPermit(counter.clone())
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let counter = &self.0;
        counter.0.set(counter.get().saturating_sub(1));
    }
}

/// Returns how many descriptors of the process's limit are for connections and health checks, the reserve included.
pub(in crate::relay) fn connection_descriptor_limit(process_limit: usize, admin_enabled: bool) -> usize {
    process_limit.saturating_sub(if admin_enabled { admin::server::MAX_DESCRIPTORS } else { 0 })
}

impl Relay {
    /// Returns how many descriptors this process may hold: all processes of a relay share one limit.
    fn descriptor_limit(&self) -> usize {
        let min_share = self.max_descriptors / MIN_SHARE_DIVISOR;
        self.max_descriptors.saturating_sub(self.listener_ownership.predecessor_descriptors()).max(min_share)
    }

    /// Takes a descriptor, unless they would run out; when they are short, an idle connection is closed for it.
    pub fn acquire_descriptor(&self) -> Option<DescriptorPermit> {
        let in_use = self.descriptors_in_use.get();
        let descriptor_limit = self.descriptor_limit();
        let short = in_use >= descriptor_limit.saturating_sub(RESERVED_DESCRIPTORS);
        let available = in_use < descriptor_limit.saturating_sub(MIN_FREE_DESCRIPTORS);
        (!short || available && self.idle_connections.evict_one())
            .then(|| DescriptorPermit::new(&self.descriptors_in_use))
    }

    /// Makes room for one more idle connection; false while there is none.
    pub(in crate::relay) fn make_room_for_idle_connection(&self) -> bool {
        let descriptor_limit = self.descriptor_limit();
        if self.idle_connections.len() >= descriptor_limit / IDLE_CONNECTIONS_DIVISOR {
            self.idle_connections.evict_one();
        }
        let full = self.descriptors_in_use.get() >= descriptor_limit.saturating_sub(MIN_FREE_DESCRIPTORS);
        if full {
            self.idle_connections.evict_one();
        }
        !full
    }
}
