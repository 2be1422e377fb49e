//! Requests of a lease client and their results.

use serde::{Deserialize, Serialize};

use crate::{Command, CommandOutcome, Micros, RequestTime};

/// The result of one command. The order of fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResult {
    /// The outcome.
    pub outcome: CommandOutcome,
    /// For an acquire rejected with [`crate::Rejection::SlotsTaken`], the delay before a retry in
    /// microseconds; 0 otherwise.
    pub retry_after: Micros,
}

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Number of the server to send it to, from 1.
    pub server: u64,
    /// Id that the response carries.
    pub id: u64,
    /// All commands that are due now or soon.
    pub commands: Vec<Command>,
}

/// A request that was sent.
#[derive(Debug)]
pub(super) struct SentRequest {
    pub(super) id: u64,
    pub(super) server: u64,
    pub(super) sent_at: RequestTime,
    /// When the request is abandoned, by the client's clock.
    pub(super) times_out_at: Micros,
    pub(super) commands: Vec<Command>,
}
