//! What the keepers agree on: who holds which slot of which task, by which token. Changed by commands alone, in the order of
//! the log, and without time: every keeper that has applied the same commands holds the same book.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{LeaseParameters, fault_injected};

/// Tasks that a book holds at the most: none is ever forgotten, as its tokens must rise for ever.
pub const MAX_TASKS: usize = 4_096;
/// Slots of a counted lease at the most.
pub const MAX_SLOTS: u32 = 1_024;
/// Leases of all tasks together at the most.
pub const MAX_LEASES: usize = 16_384;
/// Bytes of a task's or holder's name at the most.
pub const MAX_NAME_BYTES: usize = 128;

/// Asks in a row without an answer, after which a holder has to hear one first.
pub const MAX_UNANSWERED_REQUESTS: u32 = 4;

/// A fencing token. Of a task's grants, a later one has a greater token, for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

/// A slot of a task that somebody holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Who.
    pub holder: String,
    /// What it asked with: the same request told twice is granted once.
    pub nonce: u64,
    /// Its token.
    pub token: FencingToken,
    /// How often it was renewed.
    pub renewals: u64,
    /// Renewed no more: it ends by itself.
    pub revoked: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Task {
    last_token: u64,
    leases: Vec<Lease>,
}

/// A change of the book.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Somebody wants a slot of a task that has so many.
    Acquire {
        /// The task.
        task: String,
        /// Slots that it has.
        slots: u32,
        /// Who asks.
        holder: String,
        /// New with each request of a holder; the same when it is sent again.
        nonce: u64,
        /// Asks in a row that it has heard no answer to.
        unanswered: u32,
    },
    /// A holder goes on.
    Renew {
        /// The task.
        task: String,
        /// Its token.
        token: FencingToken,
        /// Asks in a row that it has heard no answer to.
        unanswered: u32,
    },
    /// A holder is done, and has ended its last act.
    Release {
        /// The task.
        task: String,
        /// Its token.
        token: FencingToken,
    },
    /// Staff take it away: it is renewed no more, and free once it has run out, as its holder may act until then.
    Revoke {
        /// The task.
        task: String,
        /// Its token.
        token: FencingToken,
    },
    /// The keeper that leads has seen a lease run out.
    Expire {
        /// The task.
        task: String,
        /// Its token.
        token: FencingToken,
        /// The renewals that it knew of: one more, and the lease stays.
        renewals: u64,
    },
}

impl Command {
    /// The task that it is about.
    pub fn task(&self) -> &str {
        let (Command::Acquire { task, .. }
        | Command::Renew { task, .. }
        | Command::Release { task, .. }
        | Command::Revoke { task, .. }
        | Command::Expire { task, .. }) = self;
        task
    }
}

/// What became of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The slot is held, by this token.
    Held(FencingToken),
    /// The slot is free.
    Free,
    /// Nothing has changed.
    Rejected(Rejection),
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Rejection {
    /// Others hold all slots.
    #[error("all slots of the task are held")]
    Taken,
    /// No such lease: it has ended, and perhaps another has begun.
    #[error("no lease with this token; it has ended")]
    Ended,
    /// It was renewed meanwhile.
    #[error("the lease was renewed meanwhile")]
    Renewed,
    /// Who asks has not heard for long: first it has to hear this.
    #[error("too many asks in a row went without an answer that was heard; ask again")]
    Unheard,
    /// The book is full.
    #[error("the book holds {MAX_TASKS} tasks or {MAX_LEASES} leases already")]
    Full,
    /// A name is empty or too long.
    #[error("names have 1 to {MAX_NAME_BYTES} bytes")]
    Name,
    /// The task has none, or more than a book can hold.
    #[error("a task has 1 to {MAX_SLOTS} slots")]
    Slots,
}

/// The book.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    tokens_from: u64,
    held: usize,
    tasks: BTreeMap<String, Task>,
}

impl LeaseTable {
    /// An empty book whose tokens rise from here: of a fleet that has lost its keepers, above all that were ever given.
    pub fn with_tokens_from(tokens_from: u64) -> LeaseTable {
        LeaseTable { tokens_from, ..LeaseTable::default() }
    }

    /// Applies a command. The terms change nothing of what it does but for faults planted by tests.
    pub fn apply(&mut self, parameters: &LeaseParameters, command: &Command) -> Answer {
        match command {
            // Guards against a holder that the keepers hear and that hears nothing: it would keep a task that it cannot act on.
            Command::Acquire { unanswered, .. } | Command::Renew { unanswered, .. }
                if *unanswered > MAX_UNANSWERED_REQUESTS =>
            {
                Answer::Rejected(Rejection::Unheard)
            }
            Command::Acquire { task, slots, holder, nonce, .. } => self.acquire(task, *slots, holder, *nonce),
            Command::Renew { task, token, .. } => match self.lease(task, *token) {
                Some(lease) if !lease.revoked => {
                    lease.renewals += 1;
                    Answer::Held(*token)
                }
                _ => Answer::Rejected(Rejection::Ended),
            },
            Command::Revoke { task, token } => match self.lease(task, *token) {
                Some(lease) => {
                    lease.revoked = true;
                    Answer::Held(*token)
                }
                None => Answer::Rejected(Rejection::Ended),
            },
            Command::Release { task, token } => {
                let Some(task) = self.tasks.get_mut(task) else { return Answer::Rejected(Rejection::Ended) };
                let before = task.leases.len();
                task.leases.retain(|lease| lease.token != *token && !fault_injected!(parameters, OldRelease));
                let freed = before - task.leases.len();
                self.held -= freed;
                if freed > 0 { Answer::Free } else { Answer::Rejected(Rejection::Ended) }
            }
            Command::Expire { task, token, renewals } => {
                let renewed = match self.lease(task, *token) {
                    Some(lease) => lease.renewals > *renewals,
                    None => return Answer::Rejected(Rejection::Ended),
                };
                if renewed && !fault_injected!(parameters, ExpiresRenewed) {
                    return Answer::Rejected(Rejection::Renewed);
                }
                if let Some(task) = self.tasks.get_mut(task) {
                    task.leases.retain(|lease| lease.token != *token);
                    self.held -= 1;
                }
                Answer::Free
            }
        }
    }

    fn acquire(&mut self, name: &str, slots: u32, holder: &str, nonce: u64) -> Answer {
        if !(1..=MAX_SLOTS).contains(&slots) {
            return Answer::Rejected(Rejection::Slots);
        }
        if [name, holder].iter().any(|name| !(1..=MAX_NAME_BYTES).contains(&name.len())) {
            return Answer::Rejected(Rejection::Name);
        }
        if !self.tasks.contains_key(name) && self.tasks.len() >= MAX_TASKS {
            return Answer::Rejected(Rejection::Full);
        }
        let founded = Task { last_token: self.tokens_from, leases: Vec::new() };
        let task = self.tasks.entry(name.to_owned()).or_insert(founded);
        // The answer to the first telling was lost: it is told again, and the lease is renewed by that, as its holder counts
        // from when it asked last. A holder has one slot of a task.
        if let Some(own) = task.leases.iter_mut().find(|lease| lease.holder == holder) {
            if own.nonce != nonce || own.revoked {
                return Answer::Rejected(Rejection::Taken);
            }
            own.renewals += 1;
            return Answer::Held(own.token);
        }
        if task.leases.len() >= slots as usize {
            return Answer::Rejected(Rejection::Taken);
        }
        if self.held >= MAX_LEASES {
            return Answer::Rejected(Rejection::Full);
        }
        self.held += 1;
        task.last_token += 1;
        let token = FencingToken(task.last_token);
        task.leases.push(Lease { holder: holder.to_owned(), nonce, token, renewals: 0, revoked: false });
        Answer::Held(token)
    }

    fn lease(&mut self, task: &str, token: FencingToken) -> Option<&mut Lease> {
        self.tasks.get_mut(task)?.leases.iter_mut().find(|lease| lease.token == token)
    }

    /// The leases of one task, in no order.
    pub fn leases_of(&self, task: &str) -> &[Lease] {
        self.tasks.get(task).map_or(&[], |task| &task.leases)
    }

    /// All leases, by task and token.
    pub fn leases(&self) -> impl Iterator<Item = (&str, &Lease)> {
        self.tasks.iter().flat_map(|(name, task)| task.leases.iter().map(move |lease| (name.as_str(), lease)))
    }

    /// A keeper comes to lead with this book. It changes nothing, but for faults planted by tests.
    pub fn leadership_acquired(&mut self, parameters: &LeaseParameters) {
        for task in self.tasks.values_mut() {
            if fault_injected!(parameters, ForgetsLeases) {
                self.held -= task.leases.len();
                task.leases.clear();
            }
            if fault_injected!(parameters, TokenFromMemory) {
                task.last_token = 0;
            }
        }
    }
}
