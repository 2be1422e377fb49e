//! Requests that a relay makes to discovery.

use honeyknot_balancer::Micros;

/// A request to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// The full endpoint list.
    FullList,
    /// The changes since a version. The service responds as soon as there are any, or when the wait is over.
    Watch {
        /// Version of the list that the relay has.
        since_version: u64,
        /// How long the service may wait for a change, in microseconds.
        max_wait: Micros,
    },
}

impl DiscoveryRequest {
    /// Returns how long the service may wait for a change before it responds, in microseconds.
    pub(crate) fn max_wait(self) -> Micros {
        match self {
            DiscoveryRequest::FullList => 0,
            DiscoveryRequest::Watch { max_wait, .. } => max_wait,
        }
    }
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
    /// When the request was sent.
    pub(crate) started_at: Micros,
}
