//! When those who were refused may come again: what a task costs the keepers does not grow with the relays that want it.

use std::collections::BTreeMap;

use crate::{Micros, Terms};

/// Visits of refused claimants to one task in the time of a lease: a lease that ends is taken within so small a part of it.
const VISITS: u64 = 16;
/// The longest that a claimant is told to stay away, in leases. Beyond `VISITS` times so many claimants of one task, visits
/// grow with them again.
const LONGEST: u64 = 64;

/// What the keeper that leads keeps in its memory: for each task, when the next one who is refused may come.
#[derive(Clone, Debug)]
pub struct Turnstile {
    terms: Terms,
    next: BTreeMap<String, Micros>,
}

impl Turnstile {
    /// Nobody has been refused yet.
    pub fn new(terms: Terms) -> Turnstile {
        Turnstile { terms, next: BTreeMap::new() }
    }

    /// Somebody is refused a slot of this task: after how long it may ask again. In order of coming, at even steps.
    pub fn refused(&mut self, now: Micros, task: &str) -> Micros {
        let (step, longest) = (self.terms.lease / VISITS, self.terms.lease * LONGEST);
        let soonest = now + self.terms.lease / 4;
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
