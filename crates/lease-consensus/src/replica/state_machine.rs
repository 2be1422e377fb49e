//! Applies committed entries to the lease table and answers their requests.

use honeyknot_lease::{Command, CommandOutcome, CommandResult, Rejection};
use raft::eraftpb;
use serde::Deserialize;

use super::Replica;
use super::pending_requests::ProposedEntry;
use crate::{LeaseView, Micros, ReplicaError, Response, StoredItem};

impl Replica {
    pub(super) fn apply(&mut self, now: Micros, entries: Vec<eraftpb::Entry>) -> Result<(), ReplicaError> {
        for entry in entries {
            self.apply_entry(now, &entry)?;
        }
        Ok(())
    }

    fn apply_entry(&mut self, now: Micros, entry: &eraftpb::Entry) -> Result<(), ReplicaError> {
        let commands: Vec<Command> = if entry.data.is_empty() {
            Vec::new()
        } else {
            decode(StoredItem::Entry, entry.index, &entry.data)?
        };
        let results = commands.iter().map(|command| self.apply_command(now, command)).collect();
        self.applied_index = entry.index;
        if self.expiry_index == Some(entry.index) {
            self.expiry_index = None;
        }
        let proposed = self.requests.take_proposed(entry.index);
        let requested_at = proposed.as_ref().map_or(now, |proposed| proposed.requested_at);
        if let Some(leadership) = &mut self.leadership {
            leadership.expiry_tracker.commands_applied(requested_at, now, &self.lease_table, &commands);
        }
        if let Some(proposed) = proposed {
            self.respond_to_entry(now, entry.term, proposed, results);
        }
        Ok(())
    }

    fn apply_command(&mut self, now: Micros, command: &Command) -> CommandResult {
        let outcome = self.lease_table.apply(&self.settings.parameters, command);
        let retry_after = match (&mut self.leadership, command, outcome) {
            (
                Some(leadership),
                Command::Acquire { task, .. },
                CommandOutcome::Rejected(Rejection::SlotsTaken),
            ) => leadership.acquire_backoff.retry_after(now, task),
            _ => 0,
        };
        CommandResult { outcome, retry_after }
    }

    fn respond_to_entry(
        &mut self, now: Micros, term: u64, proposed: ProposedEntry, results: Vec<CommandResult>,
    ) {
        let mut results = results.into_iter();
        for request in proposed.requests {
            let response = match request.command_count {
                // Another leader's entry was committed in place of the proposed one.
                _ if proposed.term != term => Response::NotLeader(self.leader()),
                0 => Response::Leases(self.lease_views(now)),
                count => Response::Results(results.by_ref().take(count).collect()),
            };
            self.respond(request.client, request.id, response);
        }
    }

    /// Returns all leases, with their times as this leader measures them.
    fn lease_views(&self, now: Micros) -> Vec<LeaseView> {
        let expiry_tracker = self.leadership.as_ref().map(|leadership| &leadership.expiry_tracker);
        let views = self.lease_table.leases().map(|(task, lease)| {
            let times = expiry_tracker.and_then(|tracker| tracker.lease_times(task, lease.token));
            LeaseView {
                task: task.to_owned(),
                holder: lease.holder.clone(),
                token: lease.token,
                renewals: lease.renewals,
                age: times.map_or(0, |times| now.saturating_sub(times.known_since)),
                remaining: times.map_or(0, |times| times.expires_at.saturating_sub(now)),
                revoked: lease.revoked,
            }
        });
        views.collect()
    }
}

/// Decodes an entry or snapshot.
pub(super) fn decode<T: for<'bytes> Deserialize<'bytes>>(
    item: StoredItem, index: u64, bytes: &[u8],
) -> Result<T, ReplicaError> {
    postcard::from_bytes(bytes).map_err(|_| ReplicaError::Unreadable { item, index })
}
