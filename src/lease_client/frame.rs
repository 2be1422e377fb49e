//! The messages after the greeting. The order of variants and fields is the wire format.

use honeyknot_lease::Command;
use honeyknot_lease_consensus::{PeerMessage, Response};
use serde::{Deserialize, Serialize};

use honeyknot_balancer::Micros;

/// A message after the greeting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Server to server: the time when the message was sent, by the sender's clock in microseconds, and the
    /// message.
    PeerMessage(Micros, PeerMessage),
    /// Client to server.
    Request {
        /// Identifies the response.
        id: u64,
        /// The commands; an empty list requests all leases.
        commands: Vec<Command>,
    },
    /// Server to client.
    Response {
        /// Id of the request.
        id: u64,
        /// The response.
        response: Response,
    },
}
