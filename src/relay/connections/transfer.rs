//! An established connection on its way from one process of the relay to another.

use std::rc::Rc;

use honeyknot_balancer::Micros;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;

use super::graceful_close;
use super::protocol::{LastLine, LineTracker, complete_lines_len};
use crate::relay::timer_wheel::Timers;

/// The state of an established connection without its sockets, as one process sends it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConnectionSnapshot {
    /// The client's request, as it sent it.
    #[serde(rename = "head")]
    pub(super) request: Vec<u8>,
    /// The id of the endpoint.
    #[serde(rename = "server")]
    pub(super) endpoint: String,
    /// Bytes of the endpoint that wait to be sent to the client.
    #[serde(rename = "to_client")]
    pub(super) to_downstream: Vec<u8>,
    /// Bytes of the client that wait to be sent to the endpoint.
    #[serde(rename = "to_server")]
    pub(super) to_upstream: Vec<u8>,
    #[serde(rename = "watch")]
    pub(super) line_tracker: LineTracker,
    #[serde(rename = "last")]
    pub(super) last_line: LastLine,
    /// When the client's oldest unanswered line was sent, in Unix microseconds.
    #[serde(rename = "unanswered")]
    pub(super) unanswered_since: Option<Micros>,
    /// The load that the endpoint reported last.
    pub(super) load: Option<f64>,
}

/// A connection with its sockets, to be sent to another process.
#[derive(Debug)]
pub struct ConnectionTransfer {
    /// The connection's state.
    pub snapshot: ConnectionSnapshot,
    /// The client's socket.
    pub downstream: TcpStream,
    /// The endpoint's socket.
    pub upstream: TcpStream,
}

impl ConnectionTransfer {
    /// Migrates the client, as no process can continue the connection.
    pub fn migrate(self, timers: &Rc<Timers>) {
        let ConnectionTransfer { snapshot, downstream, upstream } = self;
        // What waits is at most the beginning of a line; if nothing does, the client has complete lines.
        let at_line_boundary = complete_lines_len(&snapshot.to_downstream) == 0
            && (!snapshot.to_downstream.is_empty() || snapshot.line_tracker.between_lines());
        let timers = timers.clone();
        tokio::task::spawn_local(async move {
            graceful_close::migrate(&timers, downstream, upstream, at_line_boundary).await;
        });
    }
}
