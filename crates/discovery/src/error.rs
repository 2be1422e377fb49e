//! The kinds of failed requests.

use honeyknot_balancer::Micros;

/// How a request to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryErrorKind {
    /// The connection was refused: the service is down, and the request cost it nothing.
    ConnectionRefused,
    /// The connection broke before the response was complete.
    ConnectionBroken,
    /// The service rejected the request for lack of capacity.
    Overloaded {
        /// Delay that the service asked for, in microseconds.
        retry_after: Option<Micros>,
    },
    /// There was no connection or no response in time.
    Timeout,
    /// The response could not be understood.
    InvalidResponse,
}
