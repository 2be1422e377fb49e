//! The resources of the relay that a connection holds and releases when it ends.

use honeyknot_balancer::RequestId;

use crate::relay::{ConnectionIdGuard, DescriptorPermit, SharedRelay};

/// A connection's entry in the relay's table; dropping the guard removes it.
pub(super) struct ConnectionGuard {
    relay: SharedRelay,
    /// Request id of the connection.
    pub(super) id: RequestId,
    /// Whether the client has received its response.
    answered: bool,
}

impl ConnectionGuard {
    pub(super) fn new(relay: SharedRelay, id: RequestId) -> ConnectionGuard {
        ConnectionGuard { relay, id, answered: false }
    }

    /// Removes the entry of a connection whose client has received its response.
    pub(super) fn release_answered(mut self) {
        self.answered = true;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.relay.borrow_mut().connection_closed(self.id, self.answered);
    }
}

/// The descriptors and the connection id that an established connection occupies until both sides are closed.
#[derive(Debug)]
pub(super) struct Reservations {
    _downstream: DescriptorPermit,
    _upstream: DescriptorPermit,
    _connection_id: ConnectionIdGuard,
}

impl Reservations {
    pub(super) fn new(
        downstream: DescriptorPermit, upstream: DescriptorPermit, connection_id: ConnectionIdGuard,
    ) -> Reservations {
        Reservations { _downstream: downstream, _upstream: upstream, _connection_id: connection_id }
    }
}
