//! The state that a member publishes: its observations of endpoints.

use std::net::SocketAddr;

use honeyknot_balancer::Micros;
use serde::{Deserialize, Serialize};

use crate::observation::HealthObservation;

/// Maximum number of observations in one published state, which shares its datagram with other members'
/// states.
pub const MAX_OBSERVATIONS: usize = 40;
/// Age at which a published state expires, in microseconds.
pub const STATE_LIFETIME_MICROS: Micros = 3_000_000;

/// One published state of a member. The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MemberState {
    /// Address of the member that published the state.
    pub(crate) member: SocketAddr,
    /// Incarnation of the member when it published the state.
    pub(crate) incarnation: u64,
    /// Number of states that this incarnation has published, including this one.
    pub(crate) sequence: u64,
    /// Time of publication by the member's clock, in Unix microseconds.
    pub(crate) published_at: Micros,
    /// What the member has observed.
    pub(crate) observations: Vec<HealthObservation>,
}

impl MemberState {
    /// Returns the version. A state with a greater version replaces one of the same member with a lesser
    /// version.
    pub(crate) fn version(&self) -> StateVersion {
        StateVersion { incarnation: self.incarnation, sequence: self.sequence }
    }

    /// Returns whether the state has reached the end of its lifetime.
    pub(crate) fn is_expired(&self, now: Micros) -> bool {
        self.published_at + STATE_LIFETIME_MICROS <= now
    }
}

/// Version of a published state, ordered by incarnation and then by sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StateVersion {
    incarnation: u64,
    sequence: u64,
}
