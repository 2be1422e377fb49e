//! The endpoint lists that wait to be sent to the other process.
//!
//! Later lists are added to those that wait, so that for a process that hangs only the last state of each endpoint named
//! meanwhile is kept.

use crate::relay::endpoints::discovery_client::SharedList;

/// Lists that wait to be sent: at most one list with an origin, and one whose endpoints are to be merged.
#[derive(Debug, Default)]
pub(super) struct PendingLists {
    with_origin: Option<SharedList>,
    /// Sent after the list with an origin; endpoints that a later such list names are removed.
    merged: Option<SharedList>,
}

impl PendingLists {
    /// Adds a list. Returns whether no list was waiting before.
    pub(super) fn add(&mut self, mut list: SharedList) -> bool {
        let was_empty = self.with_origin.is_none() && self.merged.is_none();
        let waiting = if list.origin.is_some() && !self.starts_generation_by_changes(&list) {
            self.supersede_merged(&list);
            &mut self.with_origin
        } else {
            list.origin = None;
            &mut self.merged
        };
        match waiting {
            Some(waiting) => waiting.absorb(list),
            None => *waiting = Some(list),
        }
        was_empty
    }

    /// Removes and returns the lists, in the order in which they must be sent.
    pub(super) fn take(&mut self) -> impl Iterator<Item = SharedList> + use<> {
        self.with_origin.take().into_iter().chain(self.merged.take())
    }

    /// Returns whether a list consists of changes in another generation than the list that waits. The changes must
    /// not make that list count as one of their generation.
    fn starts_generation_by_changes(&self, list: &SharedList) -> bool {
        let waiting = self.with_origin.as_ref().and_then(|waiting| waiting.origin);
        let other_generation = waiting.zip(list.origin).is_some_and(|(a, b)| a.generation != b.generation);
        other_generation && !list.update.full
    }

    fn supersede_merged(&mut self, list: &SharedList) {
        if list.update.full {
            self.merged = None;
        } else if let Some(merged) = &mut self.merged {
            merged.forget_endpoints(&list.update);
        }
    }
}
