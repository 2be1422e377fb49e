//! The connection ids of clients: which are open, and which may not be used again.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use thiserror::Error;

use super::used_ids::{ConnectionIdHash, UsedIds};

/// Why a connection id cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReserveIdError {
    /// The request names no class, or one that the settings do not contain.
    #[error("the request's class is unknown")]
    UnknownClass,
    /// Another connection with the id is open.
    #[error("the connection id is already open")]
    AlreadyOpen,
    /// A request with the id may have run, and its class must not run twice.
    #[error("a request with the connection id may have run")]
    MayHaveRun,
}

/// The connection ids that clients have open, and those of requests that must not run again.
#[derive(Clone, Debug, Default)]
pub(in crate::relay) struct ConnectionIds(Rc<RefCell<State>>);

#[derive(Debug, Default)]
struct State {
    open: BTreeSet<Rc<str>>,
    used: UsedIds,
}

impl ConnectionIds {
    /// Reserves an id until the returned guard is dropped.
    ///
    /// # Errors
    /// If it is open already, or if it has been used and its request is not `repeatable`.
    pub(in crate::relay) fn reserve(
        &self, id: &str, repeatable: bool,
    ) -> Result<ConnectionIdGuard, ReserveIdError> {
        if !repeatable && self.0.borrow().used.contains(ConnectionIdHash::of(id)) {
            return Err(ReserveIdError::MayHaveRun);
        }
        self.reserve_open(id, repeatable)
    }

    /// Reserves the id of a connection that another process of this relay has established.
    ///
    /// # Errors
    /// If it is open already.
    pub(in crate::relay) fn reserve_established(
        &self, id: &str, repeatable: bool,
    ) -> Result<ConnectionIdGuard, ReserveIdError> {
        let guard = self.reserve_open(id, repeatable)?;
        guard.mark_sent();
        Ok(guard)
    }

    fn reserve_open(&self, id: &str, repeatable: bool) -> Result<ConnectionIdGuard, ReserveIdError> {
        let id: Rc<str> = id.into();
        if !self.0.borrow_mut().open.insert(id.clone()) {
            return Err(ReserveIdError::AlreadyOpen);
        }
        Ok(ConnectionIdGuard { ids: self.clone(), id, repeatable, attempts_sent: Cell::new(0) })
    }

    /// Returns how many ids are open.
    pub(in crate::relay) fn open_count(&self) -> usize {
        self.0.borrow().open.len()
    }

    /// Returns the used ids, the oldest first.
    pub(in crate::relay) fn used(&self) -> Vec<ConnectionIdHash> {
        self.0.borrow().used.iter().collect()
    }

    /// Adds ids that another process of this relay has used.
    pub(in crate::relay) fn add_used(&self, ids: Vec<ConnectionIdHash>) {
        let used = &mut self.0.borrow_mut().used;
        ids.into_iter().for_each(|id| used.insert(id));
    }
}

/// A reserved connection id of a client; dropping the guard releases it.
#[derive(Debug)]
pub struct ConnectionIdGuard {
    ids: ConnectionIds,
    id: Rc<str>,
    /// Whether the request may run more than once.
    repeatable: bool,
    /// Number of attempts that have been sent and that no endpoint has rejected.
    attempts_sent: Cell<u32>,
}

impl ConnectionIdGuard {
    /// Returns whether the request may be sent: not if another process of this relay has sent one with its id.
    pub(in crate::relay) fn may_be_sent(&self) -> bool {
        self.repeatable || self.attempts_sent.get() > 0 || !self.ids.0.borrow().used.contains(self.hash())
    }

    /// Records that the request has been sent and may run. Returns its id if it must not be used again.
    pub(in crate::relay) fn mark_sent(&self) -> Option<ConnectionIdHash> {
        self.attempts_sent.set(self.attempts_sent.get() + 1);
        let used = (!self.repeatable).then(|| self.hash())?;
        self.ids.0.borrow_mut().used.insert(used);
        Some(used)
    }

    /// Records that an endpoint has rejected an attempt, so that this one has not run.
    pub(in crate::relay) fn mark_rejected(&self) {
        self.attempts_sent.set(self.attempts_sent.get().saturating_sub(1));
        if !self.repeatable && self.attempts_sent.get() == 0 {
            self.ids.0.borrow_mut().used.remove(self.hash());
        }
    }

    fn hash(&self) -> ConnectionIdHash {
        ConnectionIdHash::of(&self.id)
    }
}

impl Drop for ConnectionIdGuard {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().open.remove(&self.id);
    }
}
