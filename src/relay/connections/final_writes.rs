//! Connections whose last bytes for the client are not written yet, for which a graceful shutdown waits.

use std::cell::Cell;
use std::rc::Rc;

/// A counter of connections that have ended, but whose client has not been sent its last bytes.
#[derive(Clone, Debug, Default)]
pub(in crate::relay) struct FinalWrites(Rc<Cell<usize>>);

impl FinalWrites {
    /// Counts a connection until the returned guard is dropped.
    pub(in crate::relay) fn begin(&self) -> FinalWriteGuard {
        self.0.set(self.0.get() + 1);
        FinalWriteGuard(self.clone())
    }

    /// Returns how many connections are counted.
    pub(in crate::relay) fn count(&self) -> usize {
        self.0.get()
    }
}

/// A connection that is counted in [`FinalWrites`] until this is dropped.
#[derive(Debug)]
pub(in crate::relay) struct FinalWriteGuard(FinalWrites);

impl Drop for FinalWriteGuard {
    fn drop(&mut self) {
        let counter = &self.0.0;
        counter.set(counter.get().saturating_sub(1));
    }
}
