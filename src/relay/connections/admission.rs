//! Valid requests that are not registered at the relay yet, and their rejection.

use super::client_stream::ClientStream;
use super::protocol::{self, MICROS_PER_MILLISECOND, OpenRequest};
use crate::relay::metrics::labels::RejectionReason;
use crate::relay::metrics::recorder::RequestResult;
use crate::relay::{ConnectionIdGuard, SharedRelay};

/// A valid request whose connection id is reserved.
pub(super) struct ValidRequest {
    pub(super) relay: SharedRelay,
    pub(super) downstream: ClientStream,
    pub(super) request: OpenRequest,
    pub(super) connection_id: ConnectionIdGuard,
}

/// Rejects a request that the relay has no capacity for, and closes its connection.
pub(super) async fn reject(
    relay: &SharedRelay, downstream: ClientStream, request: &OpenRequest, reason: RejectionReason,
) {
    relay.borrow_mut().record_rejected(reason, None);
    relay.borrow_mut().record_unregistered_result(request, RequestResult::Rejected);
    let line = protocol::encode_rejected(retry_after_ms(relay));
    downstream.close_with(&line).await;
}

/// Returns the time in milliseconds after which a rejected client may retry: between half the maximum and the
/// maximum.
///
/// The value is derived from the clock, so that clients rejected at about the same time do not all retry at
/// once.
fn retry_after_ms(relay: &SharedRelay) -> u64 {
    let relay = relay.borrow();
    let max = relay.max_retry_after();
    (max / 2 + relay.timers.clock.now() % (max / 2 + 1)) / MICROS_PER_MILLISECOND
}
