//! A notice that is given once and that any number of tasks wait for.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// A notice; clones refer to the same one.
#[derive(Clone, Debug, Default)]
pub(in crate::relay) struct Notice(Rc<NoticeState>);

#[derive(Debug, Default)]
struct NoticeState {
    is_given: Cell<bool>,
    notify: Notify,
}

impl Notice {
    /// Waits for the notice; returns at once if it has been given.
    pub(in crate::relay) async fn given(&self) {
        if !self.0.is_given.get() {
            self.0.notify.notified().await;
        }
    }

    /// Gives the notice to all tasks that wait for it now or later.
    pub(in crate::relay) fn give(&self) {
        self.0.is_given.set(true);
        self.0.notify.notify_waiters();
    }
}
