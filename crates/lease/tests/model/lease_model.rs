//! The model: initial state, possible steps and properties.

use std::collections::BTreeSet;

use honeyknot_lease::{Command, ExpiryTracker, LeaseHolder, LeaseParameters, LeaseTable, Micros};
use stateright::{Model, Property};

use crate::state::{Expiry, HolderModel, State, Step};

/// Duration of a lease in microseconds; an action lasts half of it.
pub const LEASE: Micros = 40;
pub const ACTION_DURATION: Micros = LEASE / 2;
/// Duration of a tick of 10 microseconds by a slow and a fast clock, at the drift bound.
const SLOW_TICK: Micros = 9;
const FAST_TICK: Micros = 11;

pub const NO_OVERLAP: &str = "no effect follows one with a greater token";
pub const TOKENS_INCREASE: &str = "tokens increase";
const HOLDER_CHANGES: &str = "the holder changes";

pub struct LeaseModel {
    pub parameters: LeaseParameters,
    pub ticks: u8,
    /// Maximum number of requests of each holder.
    pub requests: Vec<u8>,
    pub leader_changes: u8,
    pub duplicates: u8,
}

impl LeaseModel {
    /// The reading of the holders' clock.
    pub fn slow_clock(&self, state: &State) -> Micros {
        Micros::from(state.tick) * SLOW_TICK
    }

    /// The reading of the leader's clock.
    pub fn fast_clock(&self, state: &State) -> Micros {
        Micros::from(state.tick) * FAST_TICK
    }

    /// Converts a reading of the holders' clock to the leader's clock at the same true time.
    pub fn slow_to_fast(&self, at: Micros) -> Micros {
        at / SLOW_TICK * FAST_TICK
    }

    fn holder_steps(&self, state: &State, number: u8, holder: &HolderModel, steps: &mut Vec<Step>) {
        let now = self.slow_clock(state);
        let lease_holder = holder.holder(self.parameters);
        if holder.requests_left > 0 {
            steps.push(Step::SendRequest { holder: number });
        }
        if holder.action.is_some() {
            steps.extend([Step::PerformEffect { holder: number }, Step::EndAction { holder: number }]);
        } else if lease_holder.permit(now, ACTION_DURATION).is_ok() {
            steps.push(Step::BeginAction { holder: number });
        }
        if lease_holder.held_token(now).is_some() {
            steps.push(Step::Release { holder: number });
        }
    }

    fn delivery_steps(&self, state: &State, steps: &mut Vec<Step>) {
        for request in &state.requests_in_transit {
            steps.push(Step::DeliverRequest { request: *request, is_duplicate: false });
            if state.duplicates_left > 0 {
                steps.push(Step::DeliverRequest { request: *request, is_duplicate: true });
            }
        }
        steps.extend(state.replies_in_transit.iter().map(|reply| Step::DeliverReply(*reply)));
    }

    fn leader_steps(&self, state: &State, steps: &mut Vec<Step>) {
        for command in state.expiry_tracker.expired(self.fast_clock(state)) {
            let Command::Expire { token, renewals, .. } = command else { continue };
            let expiry = Expiry { token: token.0, renewals };
            if !state.proposed_expiries.contains(&expiry) {
                steps.push(Step::ProposeExpiry(expiry));
            }
        }
        steps.extend(state.proposed_expiries.iter().map(|expiry| Step::CommitExpiry(*expiry)));
        if state.leader_changes_left > 0 {
            steps.push(Step::ChangeLeader);
        }
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let lease_table = LeaseTable::with_tokens_from(0);
        let known = LeaseHolder::new(self.parameters).state();
        let holder = |requests: &u8| HolderModel { known, action: None, nonce: 1, requests_left: *requests };
        vec![State {
            tick: 0,
            expiry_tracker: ExpiryTracker::new(self.parameters, 0, &lease_table),
            lease_table,
            holders: self.requests.iter().map(holder).collect(),
            requests_in_transit: BTreeSet::new(),
            replies_in_transit: BTreeSet::new(),
            proposed_expiries: BTreeSet::new(),
            duplicates_left: self.duplicates,
            leader_changes_left: self.leader_changes,
            highest_token: 0,
            granted: Vec::new(),
            holder_changes: 0,
            has_overlap: false,
            has_token_regression: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.tick < self.ticks {
            steps.push(Step::Tick);
        }
        for (number, holder) in state.holders.iter().enumerate() {
            self.holder_steps(state, number as u8, holder, steps);
        }
        self.delivery_steps(state, steps);
        self.leader_steps(state, steps);
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        self.transition(last, step)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_OVERLAP, |_, state: &State| !state.has_overlap),
            Property::always(TOKENS_INCREASE, |_, state: &State| !state.has_token_regression),
            Property::sometimes(HOLDER_CHANGES, |_, state: &State| state.holder_changes > 0),
        ]
    }
}
