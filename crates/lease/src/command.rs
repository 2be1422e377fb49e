//! Commands of the replicated log and their answers.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::FencingToken;
use crate::lease_table::{MAX_LEASES, MAX_NAME_BYTES, MAX_SLOTS, MAX_TASKS};

/// A change of the lease table. The order of variants and fields is the stored and wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Requests a slot of a task.
    Acquire {
        /// Name of the task.
        task: String,
        /// Number of slots of the task.
        slots: u32,
        /// Name of the holder.
        holder: String,
        /// New with each request of a holder, unchanged when it is sent again.
        nonce: u64,
        /// Number of the client's requests in a row without an answer.
        unanswered: u32,
    },
    /// Renews a lease.
    Renew {
        /// Name of the task.
        task: String,
        /// Token of the lease.
        token: FencingToken,
        /// Number of the client's requests in a row without an answer.
        unanswered: u32,
    },
    /// Releases a lease whose holder has finished its last action.
    Release {
        /// Name of the task.
        task: String,
        /// Token of the lease.
        token: FencingToken,
    },
    /// Stops renewals of a lease; its slot is free once the lease has run out, as the holder may act until then.
    Revoke {
        /// Name of the task.
        task: String,
        /// Token of the lease.
        token: FencingToken,
    },
    /// Ends a lease that has run out by the leader's clock.
    Expire {
        /// Name of the task.
        task: String,
        /// Token of the lease.
        token: FencingToken,
        /// Renewals known to the leader; a lease with more of them is kept.
        renewals: u64,
    },
}

impl Command {
    /// Name of the task.
    pub fn task(&self) -> &str {
        let (Command::Acquire { task, .. }
        | Command::Renew { task, .. }
        | Command::Release { task, .. }
        | Command::Revoke { task, .. }
        | Command::Expire { task, .. }) = self;
        task
    }
}

/// The outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The lease is held with this token.
    Held(FencingToken),
    /// The slot is free.
    Free,
    /// The command changed nothing.
    Rejected(Rejection),
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Rejection {
    /// Other holders have all slots.
    #[error("all slots of the task are held")]
    SlotsTaken,
    /// There is no lease with this token.
    #[error("no lease with this token; it has ended")]
    LeaseEnded,
    /// The lease was renewed after the expiry was proposed.
    #[error("the lease was renewed meanwhile")]
    LeaseRenewed,
    /// The client has to receive an answer before it may hold a lease.
    #[error("too many asks in a row went without an answer that was heard; ask again")]
    TooManyUnanswered,
    /// The table has reached its limit of tasks or leases.
    #[error("the book holds {MAX_TASKS} tasks or {MAX_LEASES} leases already")]
    TableFull,
    /// A name is empty or too long.
    #[error("names have 1 to {MAX_NAME_BYTES} bytes")]
    InvalidName,
    /// The number of slots is zero or too large.
    #[error("a task has 1 to {MAX_SLOTS} slots")]
    InvalidSlotCount,
}
