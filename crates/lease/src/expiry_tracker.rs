//! What the keeper that leads keeps beside the book, in its own memory: since when it counts each lease.

use std::collections::BTreeMap;

use crate::{Command, FencingToken, LeaseParameters, LeaseTable, Micros, fault_injected};

/// A lease as one keeper counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Count {
    renewals: u64,
    known: Micros,
    since: Micros,
}

/// Counts leases by the steady clock of its keeper, and proposes to expire those that have run out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExpiryTracker {
    parameters: LeaseParameters,
    counted: BTreeMap<String, Vec<(FencingToken, Count)>>,
}

impl ExpiryTracker {
    /// The keeper comes to lead. It counts every lease of the book from now: it cannot know how long another has counted,
    /// and may not shorten what that one gave.
    pub fn new(parameters: LeaseParameters, now: Micros, lease_table: &LeaseTable) -> ExpiryTracker {
        let mut expiry_tracker = ExpiryTracker { parameters, counted: BTreeMap::new() };
        for (task, _) in lease_table.leases() {
            expiry_tracker.look(task, now, lease_table);
        }
        expiry_tracker
    }

    /// The book has changed by commands that came at `asked`: what is new in it, or renewed, is counted from now, which is
    /// after it was agreed on. It costs what the tasks named cost, not what the book does.
    pub fn commands_applied(
        &mut self, asked: Micros, now: Micros, lease_table: &LeaseTable, commands: &[Command],
    ) {
        let from = if fault_injected!(self.parameters, ServerCountsFromRequest) { asked } else { now };
        for command in commands {
            self.look(command.task(), from.min(now), lease_table);
        }
    }

    fn look(&mut self, task: &str, since: Micros, lease_table: &LeaseTable) {
        let before = self.counted.remove(task).unwrap_or_default();
        let counted = lease_table.leases_of(task).iter().map(|lease| {
            let known = before.iter().find(|(token, _)| *token == lease.token).map(|(_, count)| *count);
            let count = match known {
                Some(same) if same.renewals == lease.renewals => same,
                Some(older) => Count { renewals: lease.renewals, since, ..older },
                None => Count { renewals: lease.renewals, known: since, since },
            };
            (lease.token, count)
        });
        let counted: Vec<_> = counted.collect();
        if !counted.is_empty() {
            self.counted.insert(task.to_owned(), counted);
        }
    }

    /// The leases that have run out by now. Each is proposed to the log, again and again until it is agreed on or refused.
    pub fn expired(&self, now: Micros) -> Vec<Command> {
        let all =
            self.counted.iter().flat_map(|(task, leases)| leases.iter().map(move |lease| (task, lease)));
        let over = all.filter(|(_, (_, count))| now >= count.since.saturating_add(self.span()));
        over.map(|(task, (token, count))| Command::Expire {
            task: task.clone(),
            token: *token,
            renewals: count.renewals,
        })
        .collect()
    }

    /// Since when it knows a lease, and until when it will leave it standing if it is not renewed.
    pub fn counted(&self, task: &str, token: FencingToken) -> Option<(Micros, Micros)> {
        let (_, count) = self.counted.get(task)?.iter().find(|(known, _)| *known == token)?;
        Some((count.known, count.since.saturating_add(self.span())))
    }

    /// How long a lease lasts by this keeper's clock.
    fn span(&self) -> Micros {
        self.parameters.lease_duration + self.parameters.drift(self.parameters.lease_duration)
    }
}
