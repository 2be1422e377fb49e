//! What a balancer wants carried out.

use crate::ids::{AttemptId, EndpointId, Micros, RequestId, TimerToken};

/// What a balancer wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Forward {
        /// The request.
        id: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// The attempt's time-out.
        timeout: Micros,
        /// A repeat whose first byte is not written before this is not written at all: the card servers no
        /// longer know the first.
        send_before: Option<Micros>,
    },
    /// Final answer: refused, trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0 says nothing.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail(RequestId),
    /// End an open connection politely; the client comes back.
    Migrate(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// Ask a server how it is.
    CheckHealth(EndpointId),
    /// Send [`Event::TimerFired`] after this.
    SetTimer {
        /// From now.
        delay: Micros,
        /// What to send.
        token: TimerToken,
    },
    /// Follow the list's changes, or stop.
    Watch(bool),
    /// Ask for the whole list once.
    FetchEndpoints,
    /// Close idle connections to a server.
    CloseIdleConnections(EndpointId),
    /// Tell one peer, or all.
    SendPeerMessage {
        /// The peer's number; none is all.
        to: Option<u32>,
        /// At most 256 bytes.
        payload: Vec<u8>,
    },
    /// A line for the operators.
    Log(String),
}
