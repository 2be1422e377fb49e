//! Counters of gossip.

/// Counters since the start of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Datagrams accepted.
    pub received: u64,
    /// Datagrams dropped.
    pub dropped: u64,
    /// Received states that were not newer than the known one, expired, from a clock too far ahead, or too long.
    pub rejected_states: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
}
