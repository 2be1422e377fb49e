//! Messages between replicas as a plain type, so that the engine's protobuf decoder never reads from a
//! socket.

use raft::eraftpb::{self, MessageType};
use serde::{Deserialize, Serialize};

use crate::{Entry, ReplicaId, Snapshot};

/// Kinds of message that replicas send each other. The engine's other kinds are local and are ignored if a
/// peer sends them.
const ACCEPTED_KINDS: [MessageType; 9] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
];

/// A raft message from one replica to another. The order of fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    kind: u8,
    /// The receiving replica.
    pub to: ReplicaId,
    /// The sending replica.
    pub from: ReplicaId,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<Entry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<Snapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

impl PeerMessage {
    /// Returns the sender's term.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// Returns whether the message has a snapshot, whose delivery must be reported to the sending replica's
    /// engine.
    pub fn has_snapshot(&self) -> bool {
        self.snapshot.is_some()
    }

    /// Returns the commit index of a heartbeat, up to which the leader expects the receiver to have all
    /// entries; `None` for other messages.
    pub(crate) fn heartbeat_commit(&self) -> Option<u64> {
        (self.kind == MessageType::MsgHeartbeat as u8).then_some(self.commit)
    }

    /// Converts the message to the engine's type. Returns `None` for a kind that is not accepted.
    pub(crate) fn into_raft(self, voters: &[ReplicaId]) -> Option<eraftpb::Message> {
        let mut message = eraftpb::Message::default();
        message.set_msg_type(accepted_kind(self.kind)?);
        message.to = self.to;
        message.from = self.from;
        message.term = self.term;
        message.log_term = self.log_term;
        message.index = self.index;
        message.set_entries(self.entries.into_iter().map(eraftpb::Entry::from).collect());
        message.commit = self.commit;
        message.commit_term = self.commit_term;
        if let Some(snapshot) = self.snapshot {
            message.set_snapshot(snapshot.into_raft(voters));
        }
        message.request_snapshot = self.request_snapshot;
        message.reject = self.reject;
        message.reject_hint = self.reject_hint;
        message.context = self.context.into();
        message.priority = self.priority;
        Some(message)
    }
}

fn accepted_kind(byte: u8) -> Option<MessageType> {
    ACCEPTED_KINDS.into_iter().find(|kind| *kind as u8 == byte)
}

impl From<eraftpb::Message> for PeerMessage {
    fn from(mut message: eraftpb::Message) -> PeerMessage {
        PeerMessage {
            kind: message.msg_type as u8,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.take_entries().into_iter().map(Entry::from).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: message.snapshot.take().map(Snapshot::from),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        }
    }
}
