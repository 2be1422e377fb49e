//! The requests that a relay makes of discovery.

use honeyknot_balancer::Micros;

/// A request to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// The full endpoint list.
    FullList,
    /// Changes since a version, answered when there are any or when the wait is over.
    Watch {
        /// The version that the relay holds.
        since_version: u64,
        /// How long the service may wait for a change, in microseconds.
        max_wait: Micros,
    },
}

/// A request that is due now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// What is requested.
    pub request: DiscoveryRequest,
    /// Time after which the request is abandoned, in microseconds.
    pub timeout: Micros,
}

/// The request in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightRequest {
    pub(crate) request: DiscoveryRequest,
    /// When it was made.
    pub(crate) started_at: Micros,
}
