//! When leases run out, by the leader's clock.

use std::collections::BTreeMap;

use crate::{Command, FencingToken, LeaseParameters, LeaseTable, Micros, fault_injected};

/// When the leader learned of a lease and when it lets it expire, by the leader's clock in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// When this leader first knew of the lease.
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

/// Measures leases by the leader's monotonic clock and proposes to expire those that have run out. Kept in the memory of the
/// leader only.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExpiryTracker {
    parameters: LeaseParameters,
    tracked: BTreeMap<String, Vec<TrackedLease>>,
}

impl ExpiryTracker {
    /// A tracker for a new leader. Every lease counts from now, as the leader cannot know how far its predecessor had counted.
    pub fn new(parameters: LeaseParameters, now: Micros, lease_table: &LeaseTable) -> ExpiryTracker {
        let mut tracker = ExpiryTracker { parameters, tracked: BTreeMap::new() };
        for (task, _) in lease_table.leases() {
            tracker.update_task(task, now, lease_table);
        }
        tracker
    }

    /// Follows the commands of an applied entry that was requested at `requested_at`. New and renewed leases count from now,
    /// which is after their commit. The cost grows with the commands, not with the table.
    pub fn commands_applied(
        &mut self, requested_at: Micros, now: Micros, lease_table: &LeaseTable, commands: &[Command],
    ) {
        let from = if fault_injected!(self.parameters, ServerCountsFromRequest) { requested_at } else { now };
        for command in commands {
            self.update_task(command.task(), from.min(now), lease_table);
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

    /// Commands that expire all leases that have run out by now, repeated until each is applied or rejected.
    pub fn expired(&self, now: Micros) -> Vec<Command> {
        let tracked = self.tracked.iter().flat_map(|(task, leases)| leases.iter().map(move |it| (task, it)));
        let expired = tracked.filter(|(_, lease)| now >= self.expires_at(lease));
        expired
            .map(|(task, lease)| Command::Expire {
                task: task.clone(),
                token: lease.token,
                renewals: lease.renewals,
            })
            .collect()
    }

    /// The times of a lease, if it is tracked.
    pub fn lease_times(&self, task: &str, token: FencingToken) -> Option<LeaseTimes> {
        let lease = self.tracked.get(task)?.iter().find(|lease| lease.token == token)?;
        Some(LeaseTimes { known_since: lease.known_since, expires_at: self.expires_at(lease) })
    }

    /// A lease lasts longer here than at its holder, by the drift that the two clocks may have.
    fn expires_at(&self, lease: &TrackedLease) -> Micros {
        let duration = self.parameters.lease_duration;
        lease.renewed_at.saturating_add(duration + self.parameters.drift(duration))
    }
}
