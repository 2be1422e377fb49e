//! The lease table: the state machine that replicas apply the log's commands to.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Command, CommandOutcome, FencingToken, Lease, LeaseParameters, Rejection, fault_injected};

/// Maximum number of tasks in a table; tasks are never removed, because their tokens must keep increasing.
pub const MAX_TASKS: usize = 4_096;
/// Maximum number of slots of a task.
pub const MAX_SLOTS: u32 = 1_024;
/// Maximum number of leases of all tasks together.
pub const MAX_LEASES: usize = 16_384;
/// Maximum length of the name of a task or holder, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of a client's requests in a row without a response; beyond it, its acquires and renewals
/// are rejected.
pub const MAX_UNANSWERED_REQUESTS: u32 = 4;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Task {
    last_token: u64,
    leases: Vec<Lease>,
}

/// All tasks and their leases. The table is deterministic and does not depend on time: replicas that applied
/// the same commands have equal tables. The order of fields is the format of snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    tokens_from: u64,
    lease_count: usize,
    tasks: BTreeMap<String, Task>,
}

impl LeaseTable {
    /// Creates an empty table whose fencing tokens are greater than `tokens_from`.
    pub fn with_tokens_from(tokens_from: u64) -> LeaseTable {
        LeaseTable { tokens_from, ..LeaseTable::default() }
    }

    /// Applies a command. The parameters matter only for injected faults.
    pub fn apply(&mut self, parameters: &LeaseParameters, command: &Command) -> CommandOutcome {
        match command {
            // A client whose requests arrive but that receives no responses would keep a task that it cannot
            // act on.
            Command::Acquire { unanswered, .. } | Command::Renew { unanswered, .. }
                if *unanswered > MAX_UNANSWERED_REQUESTS =>
            {
                CommandOutcome::Rejected(Rejection::TooManyUnanswered)
            }
            Command::Acquire { task, slots, holder, nonce, .. } => self.acquire(task, *slots, holder, *nonce),
            Command::Renew { task, token, .. } => self.renew(task, *token),
            Command::Revoke { task, token } => self.revoke(task, *token),
            Command::Release { task, token } => self.release(parameters, task, *token),
            Command::Expire { task, token, renewals } => self.expire(parameters, task, *token, *renewals),
        }
    }

    fn acquire(&mut self, task_name: &str, slots: u32, holder: &str, nonce: u64) -> CommandOutcome {
        if let Err(rejection) = self.check_acquire(task_name, slots, holder) {
            return CommandOutcome::Rejected(rejection);
        }
        let new_task = Task { last_token: self.tokens_from, leases: Vec::new() };
        let task = self.tasks.entry(task_name.to_owned()).or_insert(new_task);
        // A holder has at most one slot of a task. A request that is sent again renews the lease, because the
        // holder measures it from when it sent the last one.
        if let Some(own) = task.leases.iter_mut().find(|lease| lease.holder == holder) {
            if own.nonce != nonce || own.revoked {
                return CommandOutcome::Rejected(Rejection::SlotsTaken);
            }
            own.renewals += 1;
            return CommandOutcome::Held(own.token);
        }
        if task.leases.len() >= slots as usize {
            return CommandOutcome::Rejected(Rejection::SlotsTaken);
        }
        if self.lease_count >= MAX_LEASES {
            return CommandOutcome::Rejected(Rejection::TableFull);
        }
        self.lease_count += 1;
        task.last_token += 1;
        let token = FencingToken(task.last_token);
        task.leases.push(Lease { holder: holder.to_owned(), nonce, token, renewals: 0, revoked: false });
        CommandOutcome::Held(token)
    }

    fn check_acquire(&self, task: &str, slots: u32, holder: &str) -> Result<(), Rejection> {
        if !(1..=MAX_SLOTS).contains(&slots) {
            return Err(Rejection::InvalidSlotCount);
        }
        if [task, holder].iter().any(|name| !(1..=MAX_NAME_BYTES).contains(&name.len())) {
            return Err(Rejection::InvalidName);
        }
        if !self.tasks.contains_key(task) && self.tasks.len() >= MAX_TASKS {
            return Err(Rejection::TableFull);
        }
        Ok(())
    }

    fn renew(&mut self, task: &str, token: FencingToken) -> CommandOutcome {
        match self.lease_mut(task, token) {
            Some(lease) if !lease.revoked => {
                lease.renewals += 1;
                CommandOutcome::Held(token)
            }
            _ => CommandOutcome::Rejected(Rejection::LeaseEnded),
        }
    }

    fn revoke(&mut self, task: &str, token: FencingToken) -> CommandOutcome {
        match self.lease_mut(task, token) {
            Some(lease) => {
                lease.revoked = true;
                CommandOutcome::Held(token)
            }
            None => CommandOutcome::Rejected(Rejection::LeaseEnded),
        }
    }

    fn release(&mut self, parameters: &LeaseParameters, task: &str, token: FencingToken) -> CommandOutcome {
        let Some(task) = self.tasks.get_mut(task) else {
            return CommandOutcome::Rejected(Rejection::LeaseEnded);
        };
        let count_before = task.leases.len();
        task.leases.retain(|lease| lease.token != token && !fault_injected!(parameters, OldRelease));
        let released = count_before - task.leases.len();
        self.lease_count -= released;
        if released > 0 { CommandOutcome::Free } else { CommandOutcome::Rejected(Rejection::LeaseEnded) }
    }

    fn expire(
        &mut self, parameters: &LeaseParameters, task: &str, token: FencingToken, known_renewals: u64,
    ) -> CommandOutcome {
        let renewed = match self.lease_mut(task, token) {
            Some(lease) => lease.renewals > known_renewals,
            None => return CommandOutcome::Rejected(Rejection::LeaseEnded),
        };
        if renewed && !fault_injected!(parameters, ExpiresRenewed) {
            return CommandOutcome::Rejected(Rejection::LeaseRenewed);
        }
        if let Some(task) = self.tasks.get_mut(task) {
            task.leases.retain(|lease| lease.token != token);
            self.lease_count -= 1;
        }
        CommandOutcome::Free
    }

    fn lease_mut(&mut self, task: &str, token: FencingToken) -> Option<&mut Lease> {
        self.tasks.get_mut(task)?.leases.iter_mut().find(|lease| lease.token == token)
    }

    /// Returns the leases of one task, in no particular order.
    pub fn leases_of(&self, task: &str) -> &[Lease] {
        self.tasks.get(task).map_or(&[], |task| &task.leases)
    }

    /// Returns all leases with the names of their tasks, sorted by task.
    pub fn leases(&self) -> impl Iterator<Item = (&str, &Lease)> {
        self.tasks.iter().flat_map(|(name, task)| task.leases.iter().map(move |lease| (name.as_str(), lease)))
    }

    /// Called when the replica becomes leader; changes nothing except for injected faults.
    pub fn leadership_acquired(&mut self, parameters: &LeaseParameters) {
        for task in self.tasks.values_mut() {
            if fault_injected!(parameters, ForgetsLeases) {
                self.lease_count -= task.leases.len();
                task.leases.clear();
            }
            if fault_injected!(parameters, TokenFromMemory) {
                task.last_token = 0;
            }
        }
    }
}
