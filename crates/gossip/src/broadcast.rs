//! Lets the membership engine receive and forward the published states piggybacked on its messages.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::member_id::MemberId;
use crate::member_state::{MemberState, StateVersion};
use crate::member_states::MemberStates;

/// The published states, shared by the engine and [`GossipMember`](crate::GossipMember).
pub(crate) type SharedMemberStates = Rc<RefCell<MemberStates>>;

/// Identifies a published state in the queue of states to forward.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateKey {
    member: SocketAddr,
    version: StateVersion,
}

impl foca::Invalidates for StateKey {
    fn invalidates(&self, other: &StateKey) -> bool {
        self.member == other.member && self.version >= other.version
    }
}

/// A published state could not be decoded.
#[derive(Debug, thiserror::Error)]
#[error("a published state cannot be decoded ({0}): upgrade all relays to the same version")]
pub(crate) struct StateDecodeError(#[from] postcard::Error);

/// Decodes received states and stores those that are accepted.
pub(crate) struct StateReceiver(pub(crate) SharedMemberStates);

impl foca::BroadcastHandler<MemberId> for StateReceiver {
    type Key = StateKey;
    type Error = StateDecodeError;

    fn receive_item(
        &mut self, data: &[u8], sender: Option<&MemberId>,
    ) -> Result<Option<StateKey>, StateDecodeError> {
        let state: MemberState = postcard::from_bytes(data)?;
        let accepted = self.0.borrow_mut().receive(&state, sender);
        Ok(accepted.then(|| StateKey { member: state.member, version: state.version() }))
    }
}
