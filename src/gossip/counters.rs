//! Gossip counters shared by the gossip thread and the event loop.

use std::sync::atomic::{AtomicU64, Ordering};

use honeyknot_gossip::GossipCounters;

/// Counters since the start of the relay, and the current number of living members.
#[derive(Debug, Default)]
pub struct SharedGossipCounters {
    /// Living members, including this relay.
    pub alive: AtomicU64,
    /// Datagrams accepted.
    pub received: AtomicU64,
    /// Datagrams dropped.
    pub dropped: AtomicU64,
    /// Received states that were rejected because they were outdated, expired, timestamped too far in the
    /// future or too long.
    pub rejected_states: AtomicU64,
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Batches of observations dropped because the queue to the thread was full.
    pub dropped_batches: AtomicU64,
}

impl SharedGossipCounters {
    /// Stores the thread's number of living members and counters.
    pub(super) fn store(&self, alive: usize, counters: GossipCounters) {
        let values = [
            (&self.alive, alive as u64),
            (&self.received, counters.received),
            (&self.dropped, counters.dropped),
            (&self.rejected_states, counters.rejected_states),
            (&self.sent_bytes, counters.sent_bytes),
        ];
        for (counter, value) in values {
            counter.store(value, Ordering::Relaxed);
        }
    }
}
