//! Idle connections: those without a request in flight, and the order in which they are evicted.
//!
//! Clients that connect by the hundred and send nothing would occupy every descriptor, so idle connections are limited
//! to a share of them. Connections that have been answered are evicted first, then those that have sent nothing, the
//! oldest first, then those that have begun a request and made no progress for longest: a client on a slow link is not
//! evicted because of a flood of silent ones.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// All idle connections, in the order in which they are evicted.
#[derive(Clone, Debug, Default)]
pub struct IdleConnections {
    queue: Rc<RefCell<EvictionQueue>>,
    shutdown: Rc<ShutdownNotice>,
}

/// Tells idle connections that the relay shuts down and they have to end.
#[derive(Debug, Default)]
pub struct ShutdownNotice {
    given: Cell<bool>,
    notify: Notify,
}

impl ShutdownNotice {
    /// Waits for the notice; returns at once if it has been given.
    pub async fn notified(&self) {
        if !self.given.get() {
            self.notify.notified().await;
        }
    }

    fn give(&self) {
        self.given.set(true);
        self.notify.notify_waiters();
    }
}

/// How far an idle connection has come; those that are less far are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    /// It has been answered.
    Answered,
    /// It has sent nothing that may be the beginning of a request.
    Silent,
    /// It has sent the beginning of a request.
    Receiving,
}

/// The position of an idle connection in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    progress: Progress,
    /// Grows with every rank that is given out.
    sequence: u64,
}

#[derive(Debug, Default)]
struct EvictionQueue {
    last_sequence: u64,
    /// The task of each connection; none while it is being spawned.
    tasks: BTreeMap<EvictionRank, Option<AbortHandle>>,
}

impl EvictionQueue {
    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}

/// A connection's place among the idle ones, which is given back when this is dropped.
#[derive(Debug)]
pub struct IdleSlot {
    connections: IdleConnections,
    rank: EvictionRank,
}

impl IdleSlot {
    /// The notice that is given when the relay shuts down.
    pub fn shutdown_notice(&self) -> Rc<ShutdownNotice> {
        self.connections.shutdown.clone()
    }

    /// Notes that the client has sent a further part of a request.
    pub fn mark_receiving(&mut self) {
        let sequence = self.connections.queue.borrow_mut().next_sequence();
        self.move_to(EvictionRank { progress: Progress::Receiving, sequence });
    }

    /// Notes that the client has been answered.
    pub fn mark_answered(&mut self) {
        self.move_to(EvictionRank { progress: Progress::Answered, sequence: self.rank.sequence });
    }

    fn move_to(&mut self, rank: EvictionRank) {
        let mut queue = self.connections.queue.borrow_mut();
        // A connection that has just been evicted has no place any more.
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
    /// Spawns the task that serves a connection, which is idle as long as it holds its slot.
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

    /// Has every idle connection answered or closed, as the relay shuts down.
    pub fn notify_shutdown(&self) {
        self.shutdown.give();
    }

    /// The number of idle connections.
    pub fn len(&self) -> usize {
        self.queue.borrow().tasks.len()
    }

    /// Whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes the connection that is first in the order of eviction; false if there is none.
    ///
    /// Its descriptor is free once its task would have run next.
    pub fn evict_one(&self) -> bool {
        let first = self.queue.borrow_mut().tasks.pop_first();
        first.and_then(|(_, task)| task).map(|task| task.abort()).is_some()
    }
}
