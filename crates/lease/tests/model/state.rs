//! States and steps of the model.

use std::collections::BTreeSet;

use honeyknot_lease::{
    Command, CommandOutcome, ExpiryTracker, FencingToken, HolderState, LeaseHolder, LeaseParameters,
    LeaseTable, Micros, Permit, Rejection,
};

pub const TASK: &str = "t";

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// True time in ticks.
    pub tick: u8,
    pub lease_table: LeaseTable,
    pub expiry_tracker: ExpiryTracker,
    pub holders: Vec<HolderModel>,
    pub requests_in_transit: BTreeSet<SentRequest>,
    pub replies_in_transit: BTreeSet<SentReply>,
    /// Expiries that are proposed and not yet committed.
    pub proposed_expiries: BTreeSet<Expiry>,
    /// Number of requests that may still be duplicated.
    pub duplicates_left: u8,
    pub leader_changes_left: u8,
    /// The greatest token of an effect, 0 before the first.
    pub highest_token: u64,
    /// The tokens of all grants, the newest last.
    pub granted: Vec<u64>,
    pub holder_changes: u8,
    /// Whether an effect followed one with a greater token.
    pub has_overlap: bool,
    /// Whether a grant's token was not greater than that of the previous grant.
    pub has_token_regression: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderModel {
    /// What the holder knows of its lease.
    pub known: HolderState,
    /// The permit of the action in progress.
    pub action: Option<PermitParts>,
    pub nonce: u64,
    pub requests_left: u8,
}

impl HolderModel {
    pub fn holder(&self, parameters: LeaseParameters) -> LeaseHolder {
        LeaseHolder::from_state(parameters, self.known)
    }

    /// Applies a change to what the holder knows.
    pub fn update<T>(
        &mut self, parameters: LeaseParameters, change: impl FnOnce(&mut LeaseHolder) -> T,
    ) -> T {
        let mut holder = self.holder(parameters);
        let result = change(&mut holder);
        self.known = holder.state();
        self.known.actions_in_progress = usize::from(self.action.is_some());
        result
    }

    pub fn begin_action(&mut self, permit: &Permit) {
        let (token, valid_until) = permit.parts();
        self.action = Some(PermitParts { token, valid_until });
        self.known.actions_in_progress = 1;
    }

    pub fn end_action(&mut self) {
        self.action = None;
        self.known.actions_in_progress = 0;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PermitParts {
    pub token: FencingToken,
    pub valid_until: Micros,
}

/// A request on its way to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SentRequest {
    pub holder: u8,
    /// By the holder's clock.
    pub sent_at: Micros,
    pub request: Request,
}

impl SentRequest {
    pub fn command(&self) -> Command {
        let task = TASK.to_owned();
        match self.request {
            Request::Acquire { nonce } => {
                Command::Acquire { task, slots: 1, holder: format!("h{}", self.holder), nonce, unanswered: 0 }
            }
            Request::Renew { token } => Command::Renew { task, token: FencingToken(token), unanswered: 0 },
            Request::Release { token } => Command::Release { task, token: FencingToken(token) },
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Request {
    Acquire { nonce: u64 },
    Renew { token: u64 },
    Release { token: u64 },
}

/// A reply on its way to the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SentReply {
    pub to: SentRequest,
    pub reply: Reply,
}

/// A [`CommandOutcome`] that can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reply {
    Held { token: u64 },
    Ended,
    Other,
}

impl From<CommandOutcome> for Reply {
    fn from(outcome: CommandOutcome) -> Reply {
        match outcome {
            CommandOutcome::Held(token) => Reply::Held { token: token.0 },
            CommandOutcome::Rejected(Rejection::LeaseEnded) => Reply::Ended,
            _ => Reply::Other,
        }
    }
}

/// An expiry with the renewals that were known when it was proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Expiry {
    pub token: u64,
    pub renewals: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Tick,
    SendRequest { holder: u8 },
    DeliverRequest { request: SentRequest, is_duplicate: bool },
    DeliverReply(SentReply),
    ProposeExpiry(Expiry),
    CommitExpiry(Expiry),
    ChangeLeader,
    BeginAction { holder: u8 },
    PerformEffect { holder: u8 },
    EndAction { holder: u8 },
    Release { holder: u8 },
}
