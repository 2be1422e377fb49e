//! Events for the task that owns the replica.

use honeyknot_lease::{Command, Micros};
use honeyknot_lease_consensus::{PeerMessage, ReplicaId};
use tokio::sync::mpsc;

use crate::lease_client::frame::Frame;

/// Maximum number of frames that wait for one connection. A client that does not read them is disconnected; messages to a peer
/// are dropped.
pub const QUEUE_CAPACITY: usize = 256;
/// Maximum number of events that wait for the replica; connections with more wait.
pub(super) const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// Identifies a client's connection.
pub(super) type ConnectionId = u64;

#[derive(Debug)]
pub(super) enum ServerEvent {
    /// A peer's message, sent at a time of the peer's clock.
    PeerMessage { sent_at: Micros, message: PeerMessage },
    /// A client's request.
    Request { connection: ConnectionId, id: u64, commands: Vec<Command> },
    /// A client has connected and receives its responses by this queue.
    ClientConnected { connection: ConnectionId, frames: mpsc::Sender<Frame> },
    /// A connection that was a client's, if known, has ended.
    Disconnected { connection: ConnectionId },
    /// A peer has connected, with the id of its database.
    PeerConnected { replica: ReplicaId, database_id: u64 },
    /// A connection to a peer failed.
    PeerUnreachable(ReplicaId),
}
