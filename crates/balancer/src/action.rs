//! Actions: what a balancer wants carried out.

use crate::ids::{AttemptId, EndpointId, Micros, RequestId, TimerToken};

/// What a balancer wants carried out; actions are carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Forward {
        /// The request.
        id: RequestId,
        /// Where it goes.
        endpoint: EndpointId,
        /// Time from now after which the attempt has failed.
        timeout: Micros,
        /// An attempt whose first byte is not written before this time is not written at all, as the
        /// endpoints no longer know of the earlier attempt.
        send_before: Option<Micros>,
    },
    /// Final answer: rejected; a repeat is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a repeat; 0 says nothing.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have run.
    Fail(RequestId),
    /// Close an established connection gracefully, so that the client connects again.
    Migrate(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send a health check to an endpoint.
    CheckHealth(EndpointId),
    /// Set a timer; [`crate::Event::TimerFired`] follows.
    SetTimer {
        /// Time from now.
        delay: Micros,
        /// Identifies the timer.
        token: TimerToken,
    },
    /// Watch the endpoint list, or stop.
    Watch(bool),
    /// Request the full endpoint list once.
    FetchEndpoints,
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Send a message to one peer, or to all.
    SendPeerMessage {
        /// Number of the peer; `None` for all.
        to: Option<u32>,
        /// The message, at most 256 bytes.
        payload: Vec<u8>,
    },
    /// Write a log line for the operators.
    Log(String),
}
