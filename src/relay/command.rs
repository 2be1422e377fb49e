//! What the relay asks of a connection's task.

use std::net::SocketAddr;

use honeyknot_balancer::{AttemptId, EndpointId, Micros};

/// A command to the task of a connection.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Start an attempt at an endpoint.
    Forward(AttemptRequest),
    /// Reject the request; the client may retry after this many microseconds.
    Reject(Micros),
    /// Answer the client that the request failed.
    Fail,
    /// Ask the client to reconnect.
    Migrate,
    /// Pass the connection on to the process that replaces this one.
    Transfer,
    /// Give up this attempt.
    Cancel(AttemptId),
}

/// An attempt to be made.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Its number within the connection.
    pub attempt: AttemptId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where this relay reaches the endpoint.
    pub address: SocketAddr,
    /// How long the answer may take.
    pub timeout: Micros,
    /// When the request must have been written, if it is a retry.
    pub send_before: Option<Micros>,
}
