//! Actions that a balancer asks its caller to carry out.

use crate::ids::{AttemptId, EndpointId, Micros, RequestId, TimerToken};

/// An action for the caller to carry out. Actions must be carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt of a request.
    Forward {
        /// The request.
        id: RequestId,
        /// The endpoint to send the attempt to.
        endpoint: EndpointId,
        /// The attempt fails with a timeout after this time from now.
        timeout: Micros,
        /// If the first byte cannot be written before this point in time, the attempt must not be sent:
        /// endpoints no longer recognise it as a repeat of an earlier attempt. `None` if there is no limit.
        send_before: Option<Micros>,
    },
    /// Final answer: the request is rejected, and the client may safely retry it.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a retry; 0 to give no advice.
        retry_after: Micros,
    },
    /// Final answer: the request failed, but it may have run.
    Fail(RequestId),
    /// Close an established connection gracefully so that its client reconnects.
    Migrate(RequestId),
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send a health check to an endpoint.
    CheckHealth(EndpointId),
    /// Set a timer, which fires as [`crate::Event::TimerFired`].
    SetTimer {
        /// Time from now until the timer fires.
        delay: Micros,
        /// Identifies the timer.
        token: TimerToken,
    },
    /// Start watching the endpoint list (`true`) or stop watching it (`false`).
    Watch(bool),
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Send a message to one other balancer, or to all.
    SendPeerMessage {
        /// Index of the receiving balancer in the fleet; `None` to send to all.
        to: Option<u32>,
        /// Content of the message, at most 256 bytes.
        payload: Vec<u8>,
    },
    /// Write a line to the operators' log.
    Log(String),
}
