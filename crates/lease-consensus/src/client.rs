//! Requests of clients and their responses.

use honeyknot_lease::{Command, CommandResult, FencingToken};
use serde::{Deserialize, Serialize};

use crate::{Micros, ReplicaId};

/// A client's request. All of its commands are in one entry of the log, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// Identifies the client to the caller.
    pub client: u64,
    /// Identifies the request to the client.
    pub id: u64,
    /// The commands; an empty list requests all leases.
    pub commands: Vec<Command>,
}

/// The response to a [`ClientRequest`]. The order of variants and fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The results of committed commands, one for each.
    Results(Vec<CommandResult>),
    /// All leases, from a linearizable read.
    Leases(Vec<LeaseView>),
    /// The replica is not the leader, or it lost its leadership while the request was pending and the
    /// commands may or may not be committed. Has the leader, or `None` if the replica does not know it.
    NotLeader(Option<ReplicaId>),
    /// The replica does not accept the request: too many requests are pending, the request has too many
    /// commands, or the engine rejects the entry.
    Overloaded,
}

/// One lease as the leader sees it. The order of fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    /// Name of the task.
    pub task: String,
    /// Name of the holder.
    pub holder: String,
    /// Fencing token of the lease.
    pub token: FencingToken,
    /// Number of renewals.
    pub renewals: u64,
    /// Time since this leader learned of the lease, in microseconds.
    pub age: Micros,
    /// Time until the lease expires unless it is renewed, in microseconds.
    pub remaining: Micros,
    /// Whether renewals are rejected.
    pub revoked: bool,
}
