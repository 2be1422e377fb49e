//! The engine's view of the log: a copy of the persisted log in memory, with some entries before the last
//! snapshot, so that followers that lag slightly need no snapshot.

use raft::eraftpb::{self, ConfState};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

use crate::{Entry, HardState, PersistedState, ReplicaId, Snapshot};

/// Number of entries before the last snapshot that stay in memory.
const ENTRIES_BEFORE_SNAPSHOT: u64 = 512;
/// Estimated overhead of an entry in a message, in bytes.
const ENTRY_OVERHEAD_BYTES: u64 = 24;

/// Index and term of an entry.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    index: u64,
    term: u64,
}

#[derive(Debug)]
pub(crate) struct Log {
    voters: Vec<ReplicaId>,
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    /// The entry before the first of `entries`.
    before_first: Position,
    entries: Vec<Entry>,
}

impl Log {
    pub(crate) fn new(voters: &[ReplicaId], state: PersistedState) -> Log {
        let PersistedState { mut hard_state, snapshot, entries } = state;
        let before_first = snapshot.as_ref().map_or_else(Position::default, position_of);
        hard_state.commit = hard_state.commit.max(before_first.index);
        Log { voters: voters.to_vec(), hard_state, snapshot, before_first, entries }
    }

    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// The entries in memory from an index on.
    pub(crate) fn entries_from(&self, index: u64) -> Vec<Entry> {
        self.entries.iter().filter(|entry| entry.index >= index).cloned().collect()
    }

    /// Replaces the whole log with another replica's snapshot.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.before_first = position_of(&snapshot);
        self.entries.clear();
        self.commit(snapshot.index);
        self.snapshot = Some(snapshot);
    }

    /// Installs a snapshot that this replica took, and drops the entries that are far before it.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let last_dropped = snapshot.index.saturating_sub(ENTRIES_BEFORE_SNAPSHOT);
        let offset = self.offset(last_dropped).filter(|offset| *offset < self.entries.len());
        if let Some(offset) = offset {
            self.before_first = Position { index: last_dropped, term: self.entries[offset].term };
            self.entries.drain(..=offset);
        }
        self.snapshot = Some(snapshot);
    }

    /// Appends entries, after the removal of all existing entries from the index of the first one on.
    pub(crate) fn append(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first() else { return };
        if let Some(offset) = self.offset(first.index) {
            self.entries.truncate(offset);
        }
        self.entries.extend(entries);
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
    }

    pub(crate) fn commit(&mut self, index: u64) {
        self.hard_state.commit = self.hard_state.commit.max(index);
    }

    /// Returns the offset of an index in `entries`, which may be beyond their end, or `None` if the index is
    /// before the first.
    fn offset(&self, index: u64) -> Option<usize> {
        index.checked_sub(self.before_first.index + 1).map(|offset| offset as usize)
    }
}

fn position_of(snapshot: &Snapshot) -> Position {
    Position { index: snapshot.index, term: snapshot.term }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let mut voters = ConfState::default();
        voters.voters = self.voters.clone();
        Ok(RaftState::new(self.hard_state.into(), voters))
    }

    fn entries(
        &self, low: u64, high: u64, max_size: impl Into<Option<u64>>, _: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        let Some(start) = self.offset(low) else { return Err(Error::Store(StorageError::Compacted)) };
        let end = self.offset(high).unwrap_or(0).min(self.entries.len());
        let entries = self.entries.get(start..end).ok_or(Error::Store(StorageError::Unavailable))?;
        let max_bytes = max_size.into().unwrap_or(u64::MAX);
        let mut bytes = 0;
        // At least one entry, whatever its size.
        let fitting = entries.iter().enumerate().take_while(|(position, entry)| {
            bytes += entry.data.len() as u64 + ENTRY_OVERHEAD_BYTES;
            *position == 0 || bytes <= max_bytes
        });
        Ok(fitting.map(|(_, entry)| entry.clone().into()).collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.before_first.index {
            return Ok(self.before_first.term);
        }
        if let Some(snapshot) = self.snapshot.as_ref().filter(|snapshot| snapshot.index == index) {
            return Ok(snapshot.term);
        }
        let offset = self.offset(index).ok_or(Error::Store(StorageError::Compacted))?;
        self.entries.get(offset).map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.before_first.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.before_first.index + self.entries.len() as u64)
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<eraftpb::Snapshot> {
        match &self.snapshot {
            Some(snapshot) if snapshot.index >= request_index => Ok(snapshot.clone().into_raft(&self.voters)),
            _ => Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable)),
        }
    }
}
