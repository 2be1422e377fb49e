//! Idle connections, which have not sent a complete request, and the order in which they are evicted.
//!
//! Hundreds of clients that connect and send nothing could occupy all descriptors, so idle connections are
//! limited to a share of them. The order of eviction is: connections that have been answered; those that have
//! sent nothing, the oldest first; those that have sent part of a request, the one without progress for
//! longest first. A client on a slow link is therefore not evicted because of a flood of silent ones.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

use tokio::task::AbortHandle;

/// All idle connections, in the order in which they are evicted.
#[derive(Clone, Debug, Default)]
pub struct IdleConnections {
    queue: Rc<RefCell<EvictionQueue>>,
}

/// Progress of an idle connection; the lowest value is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    /// The client has been answered.
    Answered,
    /// The client has sent nothing that could be the beginning of a request.
    Silent,
    /// The client has sent the beginning of a request.
    Receiving,
}

/// The position of an idle connection in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    progress: Progress,
    /// Taken from a counter, so that it is unique among the idle connections; of those with the same
    /// progress, the one with the lowest number is evicted first.
    sequence: u64,
}

#[derive(Debug, Default)]
struct EvictionQueue {
    last_sequence: u64,
    /// The task of each connection; `None` while it is being spawned.
    tasks: BTreeMap<EvictionRank, Option<AbortHandle>>,
}

impl EvictionQueue {
    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
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
        if let Some(task) = queue.tasks.remove(&self.rank) {
            queue.tasks.insert(rank, task);
            self.rank = rank;
        }
    }
}

impl Drop for IdleSlot {
    fn drop(&mut self) {
        self.connections.queue.borrow_mut().tasks.remove(&self.rank);
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
        self.queue.borrow_mut().tasks.insert(rank, None);
        let task = tokio::task::spawn_local(serve(IdleSlot { connections: self.clone(), rank }));
        if let Some(entry) = self.queue.borrow_mut().tasks.get_mut(&rank) {
            *entry = Some(task.abort_handle());
        }
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.queue.borrow().tasks.len()
    }

    /// Returns whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes the connection that is first in the order of eviction; returns `false` if there is none.
    ///
    /// Its descriptor is released only when the runtime next polls the aborted task.
    pub fn evict_one(&self) -> bool {
        let first = self.queue.borrow_mut().tasks.pop_first();
        first.and_then(|(_, task)| task).map(|task| task.abort()).is_some()
    }
}
