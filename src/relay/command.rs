//! Commands from the relay to the task of a connection.

use std::net::SocketAddr;

use honeyknot_balancer::{AttemptId, EndpointId, Micros};

/// Maximum time that a migration waits for the end of a line that the endpoint has begun, in microseconds.
pub(in crate::relay) const LINE_END_TIMEOUT: Micros = 600_000;

/// A command to the task of a connection.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Start an attempt at an endpoint.
    Forward(AttemptRequest),
    /// Reject the request. The client may retry after this many microseconds; 0 names no time.
    Reject(Micros),
    /// Tell the client that the request failed.
    Fail,
    /// Ask the client to reconnect: at the end of a line, or at the deadline if the endpoint does not end its
    /// line before. The earliest deadline counts.
    Migrate {
        /// Deadline in Unix microseconds.
        deadline: Micros,
    },
    /// Transfer the connection to the process that replaces this one.
    Transfer,
    /// Cancel this attempt.
    Cancel(AttemptId),
}

/// An attempt that a connection's task is to make.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Number of the attempt within the connection, from 0.
    pub attempt: AttemptId,
    /// The endpoint to connect to.
    pub endpoint: EndpointId,
    /// Address at which this relay reaches the endpoint.
    pub address: SocketAddr,
    /// Time until the attempt fails without a response, in microseconds.
    pub timeout: Micros,
    /// Time by which the request must be sent, in Unix microseconds; `None` if there is no such limit.
    pub send_before: Option<Micros>,
}
