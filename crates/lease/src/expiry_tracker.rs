//! Expiry of leases by the leader's clock.

use std::collections::BTreeMap;

use crate::{Command, FencingToken, LeaseParameters, LeaseTable, Micros, fault_injected};

/// When the leader learned of a lease and when the lease expires, by the leader's clock in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// When this leader learned of the lease.
    pub known_since: Micros,
    /// When the lease expires unless it is renewed.
    pub expires_at: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TrackedLease {
    token: FencingToken,
    renewals: u64,
    known_since: Micros,
    renewed_at: Micros,
}

/// Measures leases by the leader's monotonic clock and returns the commands that expire them. Only the leader
/// keeps this state, in memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExpiryTracker {
    parameters: LeaseParameters,
    /// The leases of each task.
    tracked: BTreeMap<String, Vec<TrackedLease>>,
}

impl ExpiryTracker {
    /// Creates the tracker of a new leader. Each lease lasts its full duration from `now`, because the leader
    /// does not know when its predecessor last renewed it.
    pub fn new(parameters: LeaseParameters, now: Micros, lease_table: &LeaseTable) -> ExpiryTracker {
        let mut tracker = ExpiryTracker { parameters, tracked: BTreeMap::new() };
        for (task, _) in lease_table.leases() {
            tracker.update_task(task, now, lease_table);
        }
        tracker
    }

    /// Updates the leases of all tasks in the commands of an applied entry. New and renewed leases are
    /// measured from `now`, which is after their commit; only an injected fault uses `requested_at`, when the
    /// oldest request of the entry arrived. The cost grows with the number of commands, not with the size of
    /// the table.
    pub fn commands_applied(
        &mut self, requested_at: Micros, now: Micros, lease_table: &LeaseTable, commands: &[Command],
    ) {
        let measured_from =
            if fault_injected!(self.parameters, ServerCountsFromRequest) { requested_at } else { now };
        for command in commands {
            self.update_task(command.task(), measured_from.min(now), lease_table);
        }
    }

    fn update_task(&mut self, task: &str, renewed_at: Micros, lease_table: &LeaseTable) {
        let previous = self.tracked.remove(task).unwrap_or_default();
        let leases = lease_table.leases_of(task).iter().map(|lease| {
            let (token, renewals) = (lease.token, lease.renewals);
            match previous.iter().find(|tracked| tracked.token == token) {
                Some(unchanged) if unchanged.renewals == renewals => *unchanged,
                Some(renewed) => TrackedLease { renewals, renewed_at, ..*renewed },
                None => TrackedLease { token, renewals, known_since: renewed_at, renewed_at },
            }
        });
        let leases: Vec<_> = leases.collect();
        if !leases.is_empty() {
            self.tracked.insert(task.to_owned(), leases);
        }
    }

    /// Returns commands for all leases that have expired at `now`. A lease is returned again with each call
    /// until its command is applied or rejected.
    pub fn expired(&self, now: Micros) -> Vec<Command> {
        let tracked =
            self.tracked.iter().flat_map(|(task, leases)| leases.iter().map(move |lease| (task, lease)));
        let expired = tracked.filter(|(_, lease)| now >= self.expires_at(lease));
        expired
            .map(|(task, lease)| Command::Expire {
                task: task.clone(),
                token: lease.token,
                renewals: lease.renewals,
            })
            .collect()
    }

    /// Returns the times of a lease, or `None` if the leader does not track it.
    pub fn lease_times(&self, task: &str, token: FencingToken) -> Option<LeaseTimes> {
        let lease = self.tracked.get(task)?.iter().find(|lease| lease.token == token)?;
        Some(LeaseTimes { known_since: lease.known_since, expires_at: self.expires_at(lease) })
    }

    /// A lease lasts longer here than at its holder, by the maximum drift between their clocks.
    fn expires_at(&self, lease: &TrackedLease) -> Micros {
        let duration = self.parameters.lease_duration;
        lease.renewed_at.saturating_add(duration + self.parameters.max_drift(duration))
    }
}
