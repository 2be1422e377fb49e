//! What keepers tell each other, as plain types. The engine's own are protobuf's, whose reader is not to meet a socket.

use raft::eraftpb::{self, EntryType, MessageType};
use serde::{Deserialize, Serialize};

use crate::ReplicaId;

/// An entry of the log: a batch of commands as the leader wrote it, or nothing (a leader's first).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub index: u64,
    /// The term of the leader that wrote it.
    pub term: u64,
    /// A batch.
    pub data: Vec<u8>,
}

/// The book as it was after an entry, in place of all entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it holds.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The book.
    pub lease_table: Vec<u8>,
}

/// What a keeper must never forget beside its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The term it has come to.
    pub term: u64,
    /// Whom it has voted for in that term; 0 for nobody.
    pub vote: ReplicaId,
    /// The last entry that it knows to be agreed on.
    pub commit: u64,
}

/// One keeper's word to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    kind: u8,
    /// For whom.
    pub to: ReplicaId,
    /// By whom.
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
    /// The term that its writer had come to.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// Whether it carries a snapshot: its writer waits until it is told that it went out.
    pub fn has_snapshot(&self) -> bool {
        self.snapshot.is_some()
    }

    /// For a heartbeat: the last entry that its leader believes this keeper to hold, and to be agreed on.
    pub(crate) fn presumes(&self) -> Option<u64> {
        (self.kind == MessageType::MsgHeartbeat as u8).then_some(self.commit)
    }
}

/// The kinds that keepers send each other. Others stay within an engine: from a socket they are refused.
fn kind(byte: u8) -> Option<MessageType> {
    use MessageType::*;
    let sent = [
        MsgAppend,
        MsgAppendResponse,
        MsgRequestVote,
        MsgRequestVoteResponse,
        MsgSnapshot,
        MsgHeartbeat,
        MsgHeartbeatResponse,
        MsgRequestPreVote,
        MsgRequestPreVoteResponse,
    ];
    sent.into_iter().find(|kind| *kind as u8 == byte)
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

impl PeerMessage {
    /// The engine's form, or nothing for a kind that no keeper sends. A snapshot always names the voters of its reader's file:
    /// who votes is not changed by what comes from a socket.
    pub(crate) fn message(self, voters: &[ReplicaId]) -> Option<eraftpb::Message> {
        let mut message = eraftpb::Message::default();
        message.set_msg_type(kind(self.kind)?);
        message.to = self.to;
        message.from = self.from;
        message.term = self.term;
        message.log_term = self.log_term;
        message.index = self.index;
        message.set_entries(self.entries.into_iter().map(eraftpb::Entry::from).collect());
        message.commit = self.commit;
        message.commit_term = self.commit_term;
        if let Some(snapshot) = self.snapshot {
            message.set_snapshot(snapshot.engine(voters));
        }
        message.request_snapshot = self.request_snapshot;
        message.reject = self.reject;
        message.reject_hint = self.reject_hint;
        message.context = self.context.into();
        message.priority = self.priority;
        Some(message)
    }
}

impl From<eraftpb::Entry> for Entry {
    fn from(entry: eraftpb::Entry) -> Entry {
        Entry { index: entry.index, term: entry.term, data: entry.data.to_vec() }
    }
}

impl From<Entry> for eraftpb::Entry {
    fn from(entry: Entry) -> eraftpb::Entry {
        let mut it = eraftpb::Entry::default();
        it.set_entry_type(EntryType::EntryNormal);
        it.index = entry.index;
        it.term = entry.term;
        it.data = entry.data.into();
        it
    }
}

impl From<eraftpb::Snapshot> for Snapshot {
    fn from(snapshot: eraftpb::Snapshot) -> Snapshot {
        let meta = snapshot.get_metadata();
        Snapshot { index: meta.index, term: meta.term, lease_table: snapshot.data.to_vec() }
    }
}

impl Snapshot {
    pub(crate) fn engine(self, voters: &[ReplicaId]) -> eraftpb::Snapshot {
        let mut it = eraftpb::Snapshot::default();
        it.mut_metadata().index = self.index;
        it.mut_metadata().term = self.term;
        it.mut_metadata().mut_conf_state().voters = voters.to_vec();
        it.data = self.lease_table.into();
        it
    }
}

impl From<eraftpb::HardState> for HardState {
    fn from(state: eraftpb::HardState) -> HardState {
        HardState { term: state.term, vote: state.vote, commit: state.commit }
    }
}

impl From<HardState> for eraftpb::HardState {
    fn from(state: HardState) -> eraftpb::HardState {
        eraftpb::HardState { term: state.term, vote: state.vote, commit: state.commit, ..Default::default() }
    }
}
