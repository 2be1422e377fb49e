//! When those who were refused may come again: what a task costs the keepers does not grow with the relays that want it.

use std::collections::BTreeMap;

use crate::{LeaseParameters, Micros};

/// Visits of refused claimants to one task in the time of a lease: a lease that ends is taken within so small a part of it.
const VISITS: u64 = 16;
/// The longest that a claimant is told to stay away, in leases. Beyond `VISITS` times so many claimants of one task, visits
/// grow with them again.
const LONGEST: u64 = 64;

/// What the keeper that leads keeps in its memory: for each task, when the next one who is refused may come.
#[derive(Clone, Debug)]
pub struct AcquireBackoff {
    parameters: LeaseParameters,
    next: BTreeMap<String, Micros>,
}

impl AcquireBackoff {
    /// Nobody has been refused yet.
    pub fn new(parameters: LeaseParameters) -> AcquireBackoff {
        AcquireBackoff { parameters, next: BTreeMap::new() }
    }

    /// Somebody is refused a slot of this task: after how long it may ask again. In order of coming, at even steps.
    pub fn retry_after(&mut self, now: Micros, task: &str) -> Micros {
        let (step, longest) =
            (self.parameters.lease_duration / VISITS, self.parameters.lease_duration * LONGEST);
        let soonest = now + self.parameters.lease_duration / 4;
        if !self.next.contains_key(task) {
            // Tasks that nobody was refused for a while are forgotten: the map is bounded by the tasks of the book.
            self.next.retain(|_, next| *next > now);
            self.next.insert(task.to_owned(), soonest);
        }
        let Some(next) = self.next.get_mut(task) else { return soonest - now };
        *next = (*next + step).max(soonest).min(now + longest);
        *next - now
    }
}
