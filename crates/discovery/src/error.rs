//! Kinds of errors of discovery requests.

use honeyknot_balancer::Micros;

/// How a request to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryErrorKind {
    /// The connection was refused: the service is down and spent no work on the request.
    ConnectionRefused,
    /// The connection broke before the response was complete.
    ConnectionBroken,
    /// The service rejected the request because it lacks capacity.
    Overloaded {
        /// Delay that the service asked for, in microseconds; `None` if it asked for none.
        retry_after: Option<Micros>,
    },
    /// No connection was established, or no response arrived, within the timeout.
    Timeout,
    /// The response could not be parsed.
    InvalidResponse,
}
