//! Errors after which a replica cannot continue.

use std::fmt;

use thiserror::Error;

use crate::ReplicaId;

/// Why a replica cannot continue, for example because its persisted state is incomplete, damaged or of
/// another fleet.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// A leader relies on entries that this replica acknowledged and no longer has.
    #[error(
        "the log lacks entries that this lease server acknowledged: leader {leader} expects entry {expected}, \
         but the last entry is {last}; the folder may be an old copy"
    )]
    MissingEntries {
        /// The leader.
        leader: ReplicaId,
        /// Index of the last entry that the leader relies on.
        expected: u64,
        /// Index of the last entry of this replica's log.
        last: u64,
    },
    /// A committed entry differs from the leader's.
    #[error(
        "committed entry {index} differs from the entry of leader {leader}; \
         the folder may belong to another fleet"
    )]
    ConflictingEntry {
        /// Index of the entry.
        index: u64,
        /// The leader.
        leader: ReplicaId,
    },
    /// A committed entry or snapshot cannot be decoded.
    #[error("cannot decode {item} {index}; it may have been written by another version")]
    Unreadable {
        /// What cannot be decoded.
        item: StoredItem,
        /// Index of the entry, or of the last entry in the snapshot.
        index: u64,
    },
    /// The persisted state is inconsistent.
    #[error(transparent)]
    InvalidState(#[from] StateError),
    /// The consensus engine failed.
    #[error("the consensus engine failed: {0}")]
    Engine(#[from] raft::Error),
}

/// A part of the replicated state that is stored in encoded form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredItem {
    /// An entry of the log.
    Entry,
    /// A snapshot of the lease table.
    Snapshot,
}

impl fmt::Display for StoredItem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            StoredItem::Entry => "entry",
            StoredItem::Snapshot => "snapshot",
        })
    }
}

/// An inconsistency of the persisted state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StateError {
    /// The log has a gap.
    #[error("entry {missing} of the log is missing; the next stored entry is {found}")]
    MissingEntry {
        /// Index of the missing entry.
        missing: u64,
        /// Index of the entry found in its place.
        found: u64,
    },
    /// The log ends before the last committed entry.
    #[error("entry {commit} is committed, but the log ends before entry {end}")]
    MissingCommittedEntry {
        /// Index of the last committed entry.
        commit: u64,
        /// Index after the last entry of the log.
        end: u64,
    },
}
