//! Raft's entry, snapshot and hard state as plain types with a stable encoding, and their conversion from and
//! to the engine's protobuf types. The order of fields is the stored and wire format.

use raft::eraftpb::{self, EntryType};
use serde::{Deserialize, Serialize};

use crate::ReplicaId;

/// An entry of the log: encoded commands, or nothing in a new leader's first entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Index of the entry in the log.
    pub index: u64,
    /// The term of the leader that proposed it.
    pub term: u64,
    /// The encoded commands; empty in a new leader's first entry.
    pub data: Vec<u8>,
}

/// The lease table after an entry, which replaces all entries up to that one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last applied entry.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The encoded lease table.
    pub lease_table: Vec<u8>,
}

/// The state that raft requires a replica to persist in addition to its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// The replica voted for in that term, 0 for none.
    pub vote: ReplicaId,
    /// Index of the last entry known to be committed.
    pub commit: u64,
}

impl From<eraftpb::Entry> for Entry {
    fn from(entry: eraftpb::Entry) -> Entry {
        Entry { index: entry.index, term: entry.term, data: entry.data.to_vec() }
    }
}

impl From<Entry> for eraftpb::Entry {
    fn from(entry: Entry) -> eraftpb::Entry {
        let mut converted = eraftpb::Entry::default();
        converted.set_entry_type(EntryType::EntryNormal);
        converted.index = entry.index;
        converted.term = entry.term;
        converted.data = entry.data.into();
        converted
    }
}

impl From<eraftpb::Snapshot> for Snapshot {
    fn from(snapshot: eraftpb::Snapshot) -> Snapshot {
        let metadata = snapshot.get_metadata();
        Snapshot { index: metadata.index, term: metadata.term, lease_table: snapshot.data.to_vec() }
    }
}

impl Snapshot {
    /// Converts the snapshot to the engine's type. The voters are those of this replica's settings, because
    /// membership never changes by a message.
    pub(crate) fn into_raft(self, voters: &[ReplicaId]) -> eraftpb::Snapshot {
        let mut converted = eraftpb::Snapshot::default();
        converted.mut_metadata().index = self.index;
        converted.mut_metadata().term = self.term;
        converted.mut_metadata().mut_conf_state().voters = voters.to_vec();
        converted.data = self.lease_table.into();
        converted
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
