//! The state that a replica persists, and the writes that change it.

use crate::{Entry, HardState, Snapshot, StateError};

/// A replica's persisted state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The last snapshot; `None` before the first.
    pub snapshot: Option<Snapshot>,
    /// All entries after the snapshot, in order.
    pub entries: Vec<Entry>,
}

/// An atomic change of the persisted state, which must be durable before any message or response that depends
/// on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaWrite {
    /// The new hard state; `None` if it is unchanged.
    pub hard_state: Option<HardState>,
    /// The new snapshot, which replaces all entries up to its index; `None` if there is none.
    pub snapshot: Option<Snapshot>,
    /// All entries from this index on are removed before the new ones are appended; `None` if none are
    /// removed.
    pub truncate_from: Option<u64>,
    /// The new entries.
    pub entries: Vec<Entry>,
}

impl ReplicaWrite {
    /// Returns whether the write changes nothing.
    pub fn is_empty(&self) -> bool {
        *self == ReplicaWrite::default()
    }
}

impl PersistedState {
    /// Applies a write to this copy in memory.
    pub fn write(&mut self, write: ReplicaWrite) {
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = write.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot);
        }
        if let Some(from) = write.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(write.entries);
    }

    /// Checks that the log has no gap and reaches the commit index.
    ///
    /// # Errors
    /// The first inconsistency.
    pub fn check(&self) -> Result<(), StateError> {
        let mut next = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index) + 1;
        for entry in &self.entries {
            if entry.index != next {
                return Err(StateError::MissingEntry { missing: next, found: entry.index });
            }
            next += 1;
        }
        if self.hard_state.commit >= next {
            return Err(StateError::MissingCommittedEntry { commit: self.hard_state.commit, end: next });
        }
        Ok(())
    }
}
