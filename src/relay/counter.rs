//! A counter of things that exist at present, shared by all that are counted.

use std::cell::Cell;
use std::rc::Rc;

/// A counter; clones refer to the same one.
#[derive(Clone, Debug, Default)]
pub(in crate::relay) struct Counter(Rc<Cell<usize>>);

impl Counter {
    /// Counts one more until the returned guard is dropped.
    pub(in crate::relay) fn add_one(&self) -> CounterGuard {
        self.0.set(self.0.get() + 1);
        CounterGuard(self.clone())
    }

    /// Returns the present number.
    pub(in crate::relay) fn get(&self) -> usize {
        self.0.get()
    }
}

/// One that is counted in a [`Counter`] until this is dropped.
#[derive(Debug)]
pub(in crate::relay) struct CounterGuard(Counter);

impl Drop for CounterGuard {
    fn drop(&mut self) {
        let number = &self.0.0;
        number.set(number.get().saturating_sub(1));
    }
}
