//! Events for the task that owns the replica.

use honeyknot_lease::{Command, Micros};
use honeyknot_lease_consensus::{PeerMessage, ReplicaId};
use tokio::sync::mpsc;

use crate::lease_client::frame::Frame;

/// Maximum number of frames that wait for one connection. If more arrive, a client is disconnected, and
/// messages to a peer are dropped.
pub const QUEUE_CAPACITY: usize = 256;
/// Maximum number of events that wait for the replica. Connections that report more events wait.
pub(super) const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// Identifies a client's connection.
pub(super) type ConnectionId = u64;

#[derive(Debug)]
pub(super) enum ServerEvent {
    /// A peer's message, with the time when it was sent by the peer's clock.
    PeerMessage { sent_at: Micros, message: PeerMessage },
    /// A client's request.
    Request { connection: ConnectionId, id: u64, commands: Vec<Command> },
    /// A client has connected and receives its responses from this queue.
    ClientConnected { connection: ConnectionId, frames: mpsc::Sender<Frame> },
    /// A connection has ended; it need not be a client's.
    Disconnected { connection: ConnectionId },
    /// A peer has connected, with the id of its database.
    PeerConnected { replica: ReplicaId, database_id: u64 },
    /// A connection to a peer failed.
    PeerUnreachable(ReplicaId),
}
