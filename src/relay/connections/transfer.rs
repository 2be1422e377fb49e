//! The form in which an established connection is transferred from one process of the relay to another.

use std::rc::Rc;

use honeyknot_balancer::Micros;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;

use super::connection_guard::Reservations;
use super::downstream_buffer::DownstreamBuffer;
use super::graceful_close;
use super::protocol::{LastLine, LineTracker};
use crate::relay::counter::CounterGuard;
use crate::relay::timer_wheel::Timers;

/// The state of an established connection without its sockets, as one process sends it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConnectionSnapshot {
    /// The client's request line as it was received.
    #[serde(rename = "head")]
    pub(super) request: Vec<u8>,
    /// Id of the endpoint.
    #[serde(rename = "server")]
    pub(super) endpoint: String,
    /// Bytes from the endpoint that have not been sent to the client yet.
    #[serde(rename = "to_client")]
    pub(super) to_downstream: Vec<u8>,
    /// Bytes from the client that have not been sent to the endpoint yet.
    #[serde(rename = "to_server")]
    pub(super) to_upstream: Vec<u8>,
    #[serde(rename = "watch")]
    pub(super) line_tracker: LineTracker,
    #[serde(rename = "last")]
    pub(super) last_line: LastLine,
    /// Time at which the client's oldest unanswered line was sent, in Unix microseconds; `None` if there is
    /// no such line.
    #[serde(rename = "unanswered")]
    pub(super) unanswered_since: Option<Micros>,
    /// Load that the endpoint last reported for the connection, if any.
    pub(super) load: Option<f64>,
}

/// What a connection holds in this process until it has been sent to another one, or its client has been sent
/// its last bytes.
#[derive(Debug)]
pub(super) struct TransferResources {
    write: CounterGuard,
    reservations: Option<Reservations>,
}

impl TransferResources {
    pub(super) fn new(write: CounterGuard, reservations: Option<Reservations>) -> TransferResources {
        TransferResources { write, reservations }
    }
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
    pub(super) resources: TransferResources,
}

impl ConnectionTransfer {
    /// Migrates the client, because no process can continue the connection.
    pub fn migrate(self, timers: &Rc<Timers>) {
        let ConnectionTransfer { snapshot, downstream, upstream, resources } = self;
        let TransferResources { write, reservations } = resources;
        let between_lines = snapshot.line_tracker.between_lines();
        let unsent = DownstreamBuffer::restore(&snapshot.to_downstream, between_lines);
        let last_bytes = unsent.into_final_bytes();
        let timers = timers.clone();
        tokio::task::spawn_local(async move {
            graceful_close::migrate(&timers, downstream, upstream, &last_bytes, write).await;
            drop(reservations);
        });
    }
}
