//! Backoff for rejected acquire requests. Retries are spread over the waiting clients, so that the request
//! rate of a task does not grow with their number.

use std::collections::BTreeMap;

use crate::{LeaseParameters, Micros};

/// Number of retries of one task that are scheduled per lease duration.
const RETRIES_PER_LEASE: u64 = 16;
/// Maximum backoff, in lease durations.
const MAX_BACKOFF_LEASES: u64 = 64;

/// Schedules the retries of rejected clients, for each task. Only the leader keeps this state, in memory.
#[derive(Clone, Debug)]
pub struct AcquireBackoff {
    parameters: LeaseParameters,
    /// By task: the time of the last retry that was scheduled, by the leader's clock.
    latest_retry: BTreeMap<String, Micros>,
}

impl AcquireBackoff {
    /// Creates a backoff without scheduled retries.
    pub fn new(parameters: LeaseParameters) -> AcquireBackoff {
        AcquireBackoff { parameters, latest_retry: BTreeMap::new() }
    }

    /// Returns the delay in microseconds after which a client whose acquire was rejected should retry.
    /// Clients of one task retry in the order of their rejections, at even intervals.
    pub fn retry_after(&mut self, now: Micros, task: &str) -> Micros {
        let duration = self.parameters.lease_duration;
        let (interval, max_backoff) = (duration / RETRIES_PER_LEASE, duration * MAX_BACKOFF_LEASES);
        let earliest = now + duration / 4;
        if !self.latest_retry.contains_key(task) {
            // Tasks without a recent rejection are dropped, so the map is bounded by the tasks of the table.
            self.latest_retry.retain(|_, retry_at| *retry_at > now);
            self.latest_retry.insert(task.to_owned(), earliest);
        }
        let Some(retry_at) = self.latest_retry.get_mut(task) else { return earliest - now };
        *retry_at = (*retry_at + interval).max(earliest).min(now + max_backoff);
        *retry_at - now
    }
}
