//! The log as the engine reads it: in memory, a mirror of what is on disk, with some entries more behind the last snapshot for
//! keepers that lag a little.

use raft::eraftpb::{self, ConfState};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

use crate::peer_message::{Entry, HardState, Snapshot};
use crate::{Micros, ReplicaId};

/// What a keeper found on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Its state.
    pub state: HardState,
    /// The book so far, if it was ever put together.
    pub snapshot: Option<Snapshot>,
    /// All entries after that, in order and without a gap.
    pub entries: Vec<Entry>,
}

/// What has to be on disk before anything that follows from it is told to anybody. All of it or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaWrite {
    /// The new state.
    pub state: Option<HardState>,
    /// Takes the place of all entries up to its index.
    pub snapshot: Option<Snapshot>,
    /// All entries from this one on are dropped ...
    pub drop_from: Option<u64>,
    /// ... before these are added.
    pub entries: Vec<Entry>,
}

impl ReplicaWrite {
    /// Whether there is anything in it.
    pub fn is_empty(&self) -> bool {
        *self == ReplicaWrite::default()
    }
}

impl PersistedState {
    /// What is on disk after a write, for stores that hold it all in memory.
    pub fn write(&mut self, write: ReplicaWrite) {
        if let Some(state) = write.state {
            self.state = state;
        }
        if let Some(snapshot) = write.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot);
        }
        if let Some(from) = write.drop_from {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(write.entries);
    }

    /// What is wrong with it, if anything: a gap, a state that names entries which are not there.
    pub fn check(&self) -> Result<(), String> {
        let mut next = self.snapshot.as_ref().map_or(0, |s| s.index) + 1;
        for entry in &self.entries {
            if entry.index != next {
                return Err(format!(
                    "entry {next} of the log is missing: the next one there is {}",
                    entry.index
                ));
            }
            next += 1;
        }
        if self.state.commit >= next {
            return Err(format!(
                "entry {} was agreed on, but the log ends before entry {next}",
                self.state.commit
            ));
        }
        Ok(())
    }
}

pub(crate) struct Log {
    voters: Vec<ReplicaId>,
    state: HardState,
    snapshot: Option<Snapshot>,
    /// The entry before the first of `entries`: its index and term.
    before: (u64, u64),
    entries: Vec<Entry>,
}

/// Entries kept in memory behind a snapshot.
const BEHIND: u64 = 512;

impl Log {
    pub(crate) fn new(voters: &[ReplicaId], kept: PersistedState) -> Log {
        let before = kept.snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        let mut state = kept.state;
        state.commit = state.commit.max(before.0);
        Log { voters: voters.to_vec(), state, snapshot: kept.snapshot, before, entries: kept.entries }
    }

    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// The entries in memory from this one on.
    pub(crate) fn from(&self, index: u64) -> Vec<Entry> {
        self.entries.iter().filter(|entry| entry.index >= index).cloned().collect()
    }

    pub(crate) fn last(&self) -> u64 {
        self.before.0 + self.entries.len() as u64
    }

    fn place(&self, index: u64) -> Option<usize> {
        index.checked_sub(self.before.0 + 1).map(|place| place as usize)
    }

    /// Another keeper's snapshot takes the place of everything.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.before = (snapshot.index, snapshot.term);
        self.entries.clear();
        self.state.commit = self.state.commit.max(snapshot.index);
        self.snapshot = Some(snapshot);
    }

    /// The book was put together up to an entry; what lies far behind goes.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let keep = snapshot.index.saturating_sub(BEHIND);
        if let Some(place) = self.place(keep).filter(|place| *place < self.entries.len()) {
            self.before = (keep, self.entries[place].term);
            self.entries.drain(..=place);
        }
        self.snapshot = Some(snapshot);
    }

    pub(crate) fn append(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first() else { return };
        if let Some(place) = self.place(first.index) {
            self.entries.truncate(place);
        }
        self.entries.extend(entries);
    }

    pub(crate) fn set_state(&mut self, state: HardState) {
        self.state = state;
    }

    pub(crate) fn commit(&mut self, index: u64) {
        self.state.commit = self.state.commit.max(index);
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let mut voters = ConfState::default();
        voters.voters = self.voters.clone();
        Ok(RaftState::new(self.state.into(), voters))
    }

    fn entries(
        &self, low: u64, high: u64, max_size: impl Into<Option<u64>>, _: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        let Some(place) = self.place(low) else { return Err(Error::Store(StorageError::Compacted)) };
        let end = self.place(high).unwrap_or(0).min(self.entries.len());
        let some = self.entries.get(place..end).ok_or(Error::Store(StorageError::Unavailable))?;
        let (most, mut sum) = (max_size.into().unwrap_or(u64::MAX), 0);
        let fits = some.iter().enumerate().take_while(|(nth, entry)| {
            sum += entry.data.len() as u64 + 24;
            *nth == 0 || sum <= most
        });
        Ok(fits.map(|(_, entry)| entry.clone().into()).collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.before.0 {
            return Ok(self.before.1);
        }
        // Behind the entries in memory only the snapshot's own is known.
        if let Some(snapshot) = self.snapshot.as_ref().filter(|s| s.index == index) {
            return Ok(snapshot.term);
        }
        let place = self.place(index).ok_or(Error::Store(StorageError::Compacted))?;
        self.entries.get(place).map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.before.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<eraftpb::Snapshot> {
        match &self.snapshot {
            Some(snapshot) if snapshot.index >= request_index => Ok(snapshot.clone().engine(&self.voters)),
            _ => Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable)),
        }
    }
}

/// How long ticks are: the engine counts in them, keepers' clocks do not need to agree.
pub(crate) fn ticks(span: Micros, tick: Micros) -> usize {
    usize::try_from(span.div_ceil(tick.max(1))).unwrap_or(usize::MAX).max(1)
}
