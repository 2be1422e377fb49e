//! The newest published state of each member.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use honeyknot_balancer::Micros;

use crate::engine_settings::MAX_MEMBERS;
use crate::member_id::MemberId;
use crate::member_state::{MAX_OBSERVATIONS, MemberState, STATE_LIFETIME_MICROS};

/// Maximum time by which another member's clock may be ahead of the local one, in microseconds.
const MAX_CLOCK_LEAD_MICROS: Micros = 500_000;

/// The newest accepted state of each member.
pub(crate) struct MemberStates {
    local: MemberId,
    now: Micros,
    states: BTreeMap<SocketAddr, MemberState>,
    rejected_states: u64,
}

impl MemberStates {
    /// Creates an empty set of states. `local` is the member that holds it.
    pub(crate) fn new(local: MemberId, now: Micros) -> MemberStates {
        MemberStates { local, now, states: BTreeMap::new(), rejected_states: 0 }
    }

    /// Sets the current time. Expired states are kept until their memory is needed, so that an older state of
    /// the same member is not accepted again.
    pub(crate) fn set_time(&mut self, now: Micros) {
        self.now = now;
    }

    /// Returns the number of received states that were rejected.
    pub(crate) fn rejected_states(&self) -> u64 {
        self.rejected_states
    }

    /// Returns the states that have not expired, each with its age in microseconds.
    pub(crate) fn current(&self, now: Micros) -> impl Iterator<Item = (Micros, &MemberState)> {
        let with_age = self.states.values().map(move |state| (now.saturating_sub(state.published_at), state));
        with_age.filter(|(age, _)| *age < STATE_LIFETIME_MICROS)
    }

    /// Stores a received state if it is acceptable. Returns whether it was accepted and must be forwarded to
    /// other members.
    ///
    /// A state of the local member that another member sends is ignored.
    pub(crate) fn receive(&mut self, state: &MemberState, sender: Option<&MemberId>) -> bool {
        if sender.is_some() && state.member == self.local.address {
            return false;
        }
        if !self.is_acceptable(state) {
            self.rejected_states += 1;
            return false;
        }
        self.store(state.clone());
        true
    }

    fn is_acceptable(&self, state: &MemberState) -> bool {
        let is_newer = self.states.get(&state.member).is_none_or(|known| known.version() < state.version());
        let is_ahead = state.published_at > self.now + MAX_CLOCK_LEAD_MICROS;
        is_newer && !is_ahead && !state.is_expired(self.now) && state.observations.len() <= MAX_OBSERVATIONS
    }

    fn store(&mut self, state: MemberState) {
        if self.states.len() >= MAX_MEMBERS {
            let now = self.now;
            self.states.retain(|_, known| !known.is_expired(now));
        }
        if self.states.len() < MAX_MEMBERS {
            self.states.insert(state.member, state);
        }
    }
}
