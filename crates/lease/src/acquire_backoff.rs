//! Backoff of rejected acquire requests, spread over the waiting clients so that the load of a task does not grow with them.

use std::collections::BTreeMap;

use crate::{LeaseParameters, Micros};

/// Retries of one task that are scheduled in the duration of a lease.
const RETRIES_PER_LEASE: u64 = 16;
/// Maximum backoff, in lease durations.
const MAX_BACKOFF_LEASES: u64 = 64;

/// For each contended task, when the next rejected client is to retry. Kept in the memory of the leader only.
#[derive(Clone, Debug)]
pub struct AcquireBackoff {
    parameters: LeaseParameters,
    next_retry: BTreeMap<String, Micros>,
}

impl AcquireBackoff {
    /// A backoff without waiting clients.
    pub fn new(parameters: LeaseParameters) -> AcquireBackoff {
        AcquireBackoff { parameters, next_retry: BTreeMap::new() }
    }

    /// After how many microseconds a client whose acquire was rejected is to retry. Clients of one task retry in order of
    /// rejection at even intervals.
    pub fn retry_after(&mut self, now: Micros, task: &str) -> Micros {
        let duration = self.parameters.lease_duration;
        let (interval, max_backoff) = (duration / RETRIES_PER_LEASE, duration * MAX_BACKOFF_LEASES);
        let earliest = now + duration / 4;
        if !self.next_retry.contains_key(task) {
            // Tasks without a recent rejection are dropped, so the map is bounded by the tasks of the table.
            self.next_retry.retain(|_, next| *next > now);
            self.next_retry.insert(task.to_owned(), earliest);
        }
        let Some(next) = self.next_retry.get_mut(task) else { return earliest - now };
        *next = (*next + interval).max(earliest).min(now + max_backoff);
        *next - now
    }
}
