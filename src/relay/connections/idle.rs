//! Idle connections, which have not sent a complete request, and the order in which they are evicted.
//!
//! Hundreds of clients that connect and send nothing could occupy all descriptors, so idle connections are
//! limited to a share of them when descriptors are scarce. The order of eviction is: connections that have
//! been answered; those that have sent nothing, the oldest first; those that have sent part of a request, the
//! one without progress for longest first. A client on a slow link is therefore not evicted because of a flood
//! of silent ones.
//!
//! Once more than a few have sent part of a request, and they outnumber the silent ones, they
//! are evicted before these. New clients, which are silent at first, are therefore not evicted because of a
//! flood of requests that are never completed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

use tokio::task::AbortHandle;

/// Number of connections with part of a request that are never evicted before silent ones.
const PROTECTED_SENDERS: usize = 16;

/// All idle connections, in the order in which they are evicted.
#[derive(Clone, Debug, Default)]
pub struct IdleConnections {
    queue: Rc<RefCell<EvictionQueue>>,
}

/// Progress of an idle connection.
#[derive(Clone, Copy, Debug)]
enum Progress {
    /// The client has been answered.
    Answered,
    /// The client has sent nothing that could be the beginning of a request.
    Silent,
    /// The client has sent the beginning of a request.
    Receiving,
}

/// The position of an idle connection in the order of eviction.
#[derive(Clone, Copy, Debug)]
struct EvictionRank {
    progress: Progress,
    /// Taken from a counter, so that it is unique among the idle connections; of those with the same
    /// progress, the one with the lowest number is evicted first.
    sequence: u64,
}

/// The tasks of the connections with the same progress, by sequence number; `None` while a task is being
/// spawned.
type Tasks = BTreeMap<u64, Option<AbortHandle>>;

#[derive(Debug, Default)]
struct EvictionQueue {
    last_sequence: u64,
    answered: Tasks,
    silent: Tasks,
    receiving: Tasks,
}

impl EvictionQueue {
    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    fn len(&self) -> usize {
        self.answered.len() + self.silent.len() + self.receiving.len()
    }

    fn tasks(&mut self, progress: Progress) -> &mut Tasks {
        match progress {
            Progress::Answered => &mut self.answered,
            Progress::Silent => &mut self.silent,
            Progress::Receiving => &mut self.receiving,
        }
    }

    fn insert(&mut self, rank: EvictionRank, task: Option<AbortHandle>) {
        self.tasks(rank.progress).insert(rank.sequence, task);
    }

    /// Removes a connection; returns `None` if it has been evicted.
    fn remove(&mut self, rank: EvictionRank) -> Option<Option<AbortHandle>> {
        self.tasks(rank.progress).remove(&rank.sequence)
    }

    /// Removes the connection that is first in the order of eviction; returns `None` if there is none.
    fn pop_first(&mut self) -> Option<Option<AbortHandle>> {
        let senders_first = self.receiving.len() > self.silent.len().max(PROTECTED_SENDERS);
        let progress = match (self.answered.is_empty(), self.silent.is_empty()) {
            (false, _) => Progress::Answered,
            (true, false) if !senders_first => Progress::Silent,
            (true, _) => Progress::Receiving,
        };
        self.tasks(progress).pop_first().map(|(_, task)| task)
    }
}

/// A connection's position among the idle connections; dropping the slot releases it.
#[derive(Debug)]
pub struct IdleSlot {
    connections: IdleConnections,
    rank: EvictionRank,
}

impl IdleSlot {
    /// Records that the client has sent a further part of a request.
    pub fn mark_receiving(&mut self) {
        let sequence = self.connections.queue.borrow_mut().next_sequence();
        self.move_to(EvictionRank { progress: Progress::Receiving, sequence });
    }

    /// Records that the client has been answered.
    pub fn mark_answered(&mut self) {
        self.move_to(EvictionRank { progress: Progress::Answered, sequence: self.rank.sequence });
    }

    fn move_to(&mut self, rank: EvictionRank) {
        let mut queue = self.connections.queue.borrow_mut();
        // A connection that has just been evicted has no position any more.
        if let Some(task) = queue.remove(self.rank) {
            queue.insert(rank, task);
            self.rank = rank;
        }
    }
}

impl Drop for IdleSlot {
    fn drop(&mut self) {
        self.connections.queue.borrow_mut().remove(self.rank);
    }
}

impl IdleConnections {
    /// Spawns the task that serves a connection. The connection counts as idle until the task drops its slot.
    ///
    /// # Panics
    ///
    /// Panics outside of a [`LocalSet`](tokio::task::LocalSet).
    pub fn admit<F: Future<Output = ()> + 'static>(&self, serve: impl FnOnce(IdleSlot) -> F) {
        let sequence = self.queue.borrow_mut().next_sequence();
        let rank = EvictionRank { progress: Progress::Silent, sequence };
        self.queue.borrow_mut().insert(rank, None);
        let task = tokio::task::spawn_local(serve(IdleSlot { connections: self.clone(), rank }));
        if let Some(entry) = self.queue.borrow_mut().silent.get_mut(&sequence) {
            *entry = Some(task.abort_handle());
        }
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Returns whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes the connection that is first in the order of eviction; returns `false` if there is none.
    ///
    /// Its descriptor is released only when the runtime next polls the aborted task.
    pub fn evict_one(&self) -> bool {
        let first = self.queue.borrow_mut().pop_first();
        first.flatten().map(|task| task.abort()).is_some()
    }
}
