//! Connection ids of requests that may have run and must not run again.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of ids that are remembered. Above it, the oldest ones are forgotten.
pub const MAX_USED_IDS: usize = 65_536;

/// Hash of a connection id: the same in every process, and of the same size whatever id a client chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConnectionIdHash(u64);

impl ConnectionIdHash {
    /// Returns the hash of a connection id.
    pub fn of(id: &str) -> ConnectionIdHash {
        ConnectionIdHash(xxh3_64(id.as_bytes()))
    }
}

/// The used ids, in the order in which they were added.
#[derive(Debug, Default)]
pub struct UsedIds {
    last_sequence: u64,
    /// Sequence number of each id's latest entry in `order`.
    sequences: HashMap<ConnectionIdHash, u64>,
    /// Includes entries of ids that have been removed or added again since.
    order: VecDeque<(u64, ConnectionIdHash)>,
}

impl UsedIds {
    /// Adds an id, and forgets the oldest one if there are too many.
    pub fn insert(&mut self, id: ConnectionIdHash) {
        self.last_sequence += 1;
        self.sequences.insert(id, self.last_sequence);
        self.order.push_back((self.last_sequence, id));
        if self.order.len() > MAX_USED_IDS
            && let Some((sequence, oldest)) = self.order.pop_front()
            && self.sequences.get(&oldest) == Some(&sequence)
        {
            self.sequences.remove(&oldest);
        }
    }

    /// Removes an id whose request turned out not to have run.
    pub fn remove(&mut self, id: ConnectionIdHash) {
        self.sequences.remove(&id);
    }

    /// Returns whether an id is remembered.
    pub fn contains(&self, id: ConnectionIdHash) -> bool {
        self.sequences.contains_key(&id)
    }

    /// Returns the remembered ids, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = ConnectionIdHash> {
        let is_latest = |(sequence, id): &&(u64, ConnectionIdHash)| self.sequences.get(id) == Some(sequence);
        self.order.iter().filter(is_latest).map(|(_, id)| *id)
    }
}
