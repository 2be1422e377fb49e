//! Counters of one gossip member.

/// Counters since the start of the member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Datagrams accepted.
    pub received: u64,
    /// Datagrams dropped because they were invalid, came from another fleet or version, or arrived while this
    /// member knew the maximum number of members.
    pub dropped: u64,
    /// Received states that were rejected: not newer than the known one, expired, timestamped too far in the
    /// future, or with too many observations.
    pub rejected_states: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
}
