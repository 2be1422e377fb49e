//! The writes of a replica, and what follows once they are durable.

use raft::{Ready, Storage};

use super::state_machine::decode;
use super::{Replica, ReplicaAction};
use crate::{Entry, Micros, ReplicaError, ReplicaWrite, Snapshot, StoredItem};

impl Replica {
    /// Returns what must be persisted next, or `None` if there is nothing to do. The next call must be
    /// [`Replica::advance`] with the write that was returned.
    pub fn ready(&mut self, now: Micros) -> Option<ReplicaWrite> {
        self.propose_requests(now);
        if !self.node.has_ready() && self.new_snapshot.is_none() && self.actions.is_empty() {
            return None;
        }
        let mut write = ReplicaWrite { snapshot: self.new_snapshot.take(), ..ReplicaWrite::default() };
        if self.node.has_ready() {
            let ready = self.node.ready();
            write.hard_state = ready.hs().map(|state| state.clone().into());
            if !ready.snapshot().is_empty() {
                let snapshot = Snapshot::from(ready.snapshot().clone());
                write.truncate_from = Some(snapshot.index + 1);
                write.snapshot = Some(snapshot);
            }
            write.entries = ready.entries().iter().cloned().map(Entry::from).collect();
            write.truncate_from = write.entries.first().map(|entry| entry.index).or(write.truncate_from);
            self.ready = Some(ready);
        }
        Some(write)
    }

    /// Continues once the write that [`Replica::ready`] returned is durable. Returns the actions to perform.
    ///
    /// # Errors
    /// A committed entry or snapshot cannot be decoded.
    pub fn advance(&mut self, now: Micros, write: ReplicaWrite) -> Result<Vec<ReplicaAction>, ReplicaError> {
        if let Some(ready) = self.ready.take() {
            self.advance_ready(now, ready, write)?;
        }
        self.follow_role(now);
        self.compact();
        Ok(std::mem::take(&mut self.actions))
    }

    fn advance_ready(
        &mut self, now: Micros, mut ready: Ready, write: ReplicaWrite,
    ) -> Result<(), ReplicaError> {
        if !ready.snapshot().is_empty()
            && let Some(snapshot) = write.snapshot
        {
            self.restore(snapshot)?;
        }
        let log = self.node.mut_store();
        log.append(write.entries);
        if let Some(hard_state) = write.hard_state {
            log.set_hard_state(hard_state);
        }
        self.send(ready.take_messages());
        self.send(ready.take_persisted_messages());
        let committed = ready.take_committed_entries();
        self.follow_role(now);
        self.apply(now, committed)?;
        let mut light_ready = self.node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            self.node.mut_store().commit(commit);
        }
        self.send(light_ready.take_messages());
        let committed = light_ready.take_committed_entries();
        self.apply(now, committed)?;
        self.node.advance_apply();
        Ok(())
    }

    /// Replaces the lease table and the log with another replica's snapshot.
    fn restore(&mut self, snapshot: Snapshot) -> Result<(), ReplicaError> {
        self.lease_table = decode(StoredItem::Snapshot, snapshot.index, &snapshot.lease_table)?;
        self.applied_index = snapshot.index;
        self.node.mut_store().restore(snapshot);
        Ok(())
    }

    /// Takes a snapshot once enough entries were applied since the last one.
    fn compact(&mut self) {
        let next_snapshot_index = self.node.store().snapshot_index() + self.settings.compact_after;
        if self.applied_index < next_snapshot_index || self.new_snapshot.is_some() {
            return;
        }
        let term = self.node.store().term(self.applied_index);
        if let (Ok(lease_table), Ok(term)) = (postcard::to_stdvec(&self.lease_table), term) {
            let snapshot = Snapshot { index: self.applied_index, term, lease_table };
            self.node.mut_store().compact(snapshot.clone());
            self.new_snapshot = Some(snapshot);
        }
    }
}
