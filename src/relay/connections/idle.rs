//! The crowd at the door: connections that have not asked for a study session yet, or were just turned away.
//!
//! Guards against clients that connect by the hundred and say nothing: they would hold every descriptor, and
//! nobody else would get in. The crowd is held within a part of the descriptors. Who has had an answer makes
//! room first, then who has said nothing, the oldest first; then who has begun a first line and got no further for
//! longest. Guards against turning out a client on a slow link for a flood of silent ones.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// Everybody at the door, in the order in which they make room.
#[derive(Clone, Default)]
pub struct IdleConnections(Rc<RefCell<Door>>, Rc<ShutdownNotice>);

/// The moment at which the relay ends and nobody can stay at the door.
#[derive(Default)]
pub struct ShutdownNotice {
    called: Cell<bool>,
    heard: Notify,
}

impl ShutdownNotice {
    /// Waits for it; at once if it has been.
    pub async fn notified(&self) {
        if !self.called.get() {
            self.heard.notified().await;
        }
    }
}

/// How far somebody at the door is; who is less far makes room first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Has had an answer.
    Answered,
    /// Has said nothing that could be the beginning of a first line.
    Silent,
    /// Has begun a first line.
    Speaks,
}

/// The stage, and a number that grows with time.
type Rank = (Stage, u64);

#[derive(Default)]
struct Door {
    last: u64,
    standing: BTreeMap<Rank, Option<AbortHandle>>,
}

impl Door {
    fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}

/// A place in the crowd, left when it is dropped.
pub struct IdleSlot {
    crowd: IdleConnections,
    rank: Rank,
}

impl IdleSlot {
    /// The moment at which nobody can stay any more.
    pub fn shutdown_notice(&self) -> Rc<ShutdownNotice> {
        self.crowd.1.clone()
    }

    /// Its first line goes on.
    pub fn mark_receiving(&mut self) {
        let rank = (Stage::Speaks, self.crowd.0.borrow_mut().number());
        self.take(rank);
    }

    /// It has had an answer.
    pub fn mark_answered(&mut self) {
        self.take((Stage::Answered, self.rank.1));
    }

    fn take(&mut self, rank: Rank) {
        let mut door = self.crowd.0.borrow_mut();
        // One that was turned out just now has no place any more.
        if let Some(task) = door.standing.remove(&self.rank) {
            door.standing.insert(rank, task);
            self.rank = rank;
        }
    }
}

impl Drop for IdleSlot {
    fn drop(&mut self) {
        self.crowd.0.borrow_mut().standing.remove(&self.rank);
    }
}

impl IdleConnections {
    /// Starts serving a connection, which stands in the crowd as long as it holds its place.
    pub fn admit<F: Future<Output = ()> + 'static>(&self, serve: impl FnOnce(IdleSlot) -> F) {
        let rank = (Stage::Silent, self.0.borrow_mut().number());
        self.0.borrow_mut().standing.insert(rank, None);
        let task = tokio::task::spawn_local(serve(IdleSlot { crowd: self.clone(), rank }));
        if let Some(place) = self.0.borrow_mut().standing.get_mut(&rank) {
            *place = Some(task.abort_handle());
        }
    }

    /// Has everybody at the door answered or ended, as the relay ends.
    pub fn notify_shutdown(&self) {
        self.1.called.set(true);
        self.1.heard.notify_waiters();
    }

    /// How many stand there.
    pub fn len(&self) -> usize {
        self.0.borrow().standing.len()
    }

    /// Whether nobody stands there.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes the connection that is to make room first; false if there is none.
    pub fn evict_one(&self) -> bool {
        let first = self.0.borrow_mut().standing.pop_first();
        // Its task ends, and gives its descriptor back, when it would next have run.
        first.and_then(|(_, task)| task).map(|task| task.abort()).is_some()
    }
}
