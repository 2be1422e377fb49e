//! Commands of the replicated log and their outcomes.

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
        /// Identifies the request: new with each acquire of a holder, unchanged when the request is sent
        /// again.
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
    /// Rejects further renewals of a lease. Its slot is free once the lease has expired, because the holder
    /// may act until then.
    Revoke {
        /// Name of the task.
        task: String,
        /// Token of the lease.
        token: FencingToken,
    },
    /// Ends a lease that has expired by the leader's clock.
    Expire {
        /// Name of the task.
        task: String,
        /// Token of the lease.
        token: FencingToken,
        /// Number of renewals known to the leader when it proposed the expiry; a lease that was renewed since
        /// is kept.
        renewals: u64,
    },
}

impl Command {
    /// Returns the name of the command's task.
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
    /// The lease has ended and its slot is free.
    Free,
    /// The command changed nothing.
    Rejected(Rejection),
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Rejection {
    /// All slots of the task are held, or an earlier lease of this holder has not ended yet.
    #[error("all slots of the task are held")]
    SlotsTaken,
    /// There is no lease with this token, or it is revoked and cannot be renewed.
    #[error("the task has no lease with this token; it was released or has expired")]
    LeaseEnded,
    /// The lease was renewed after the expiry was proposed.
    #[error("the lease was renewed after its expiry was proposed")]
    LeaseRenewed,
    /// Too many requests of the client in a row received no response; it must receive one before it may hold
    /// a lease.
    #[error("too many requests in a row received no response; send the request again")]
    TooManyUnanswered,
    /// The table has reached its limit of tasks or leases.
    #[error("the lease table is at its limit of {MAX_TASKS} tasks or {MAX_LEASES} leases")]
    TableFull,
    /// A name is empty or too long.
    #[error("the name of a task or holder must have 1 to {MAX_NAME_BYTES} bytes")]
    InvalidName,
    /// The number of slots is zero or too large.
    #[error("a task must have 1 to {MAX_SLOTS} slots")]
    InvalidSlotCount,
}
