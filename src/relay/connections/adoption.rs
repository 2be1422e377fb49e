//! The adopting state of a connection that was established before this relay started: connects it to its
//! endpoint again.

use honeyknot_balancer::{EndpointId, Micros};

use super::admission::{self, ValidRequest};
use super::attempt::{self, UpstreamStream};
use super::client_stream::{ClientActivity, ClientStream};
use super::connection_guard::ConnectionGuard;
use super::established::{AcceptedConnection, EstablishedConnection};
use super::protocol::{self, OpenRequest};
use crate::relay::counter::CounterGuard;
use crate::relay::metrics::labels::RejectionReason;
use crate::relay::metrics::recorder::RequestResult;
use crate::relay::{ConnectionIdGuard, DescriptorPermit, SharedRelay};

/// Pause between two attempts to connect to the endpoint, in microseconds.
const RETRY_INTERVAL: Micros = 100_000;
/// Timeout of one attempt, in microseconds.
const ATTEMPT_TIMEOUT: Micros = 5_000_000;

/// A connection that waits for its endpoint to become reachable.
pub(super) struct AdoptingConnection {
    relay: SharedRelay,
    downstream: ClientStream,
    request: OpenRequest,
    endpoint: EndpointId,
    upstream_permit: DescriptorPermit,
    connection_id: ConnectionIdGuard,
    _waiting: CounterGuard,
}

impl AdoptingConnection {
    /// Reserves a descriptor for the endpoint's socket. Returns `None` if none is free, or too many connections
    /// wait already: the request is then rejected and its connection closed.
    pub(super) async fn admit(valid: ValidRequest, endpoint: EndpointId) -> Option<AdoptingConnection> {
        let ValidRequest { relay, downstream, request, connection_id } = valid;
        let waiting = relay.borrow().admit_adoption();
        let permit = waiting.and_then(|waiting| Some((waiting, relay.borrow().acquire_descriptor()?)));
        let Some((waiting, upstream_permit)) = permit else {
            admission::reject(&relay, downstream, &request, RejectionReason::Descriptors).await;
            return None;
        };
        Some(AdoptingConnection {
            relay,
            downstream,
            request,
            endpoint,
            upstream_permit,
            connection_id,
            _waiting: waiting,
        })
    }

    /// Connects to the endpoint, which discovery may list only later. Returns `None` if the connection was
    /// closed because the client disconnected or sent too much data, the deadline for adoption passed, or the
    /// relay shuts down.
    pub(super) async fn run(mut self) -> Option<EstablishedConnection> {
        let timers = self.downstream.timers.clone();
        let deadline = self.relay.borrow().adoption_deadline();
        let shutdown = self.relay.borrow().shutdown_notice.clone();
        let upstream = tokio::select! {
            biased;
            // Polled first, so that nothing is forwarded for a client that has disconnected.
            activity = self.downstream.disconnected_or_overflowed() => match activity {
                ClientActivity::Disconnected => {
                    self.relay.borrow_mut().record_unregistered_result(&self.request, RequestResult::Failed);
                    return None;
                }
                ClientActivity::SentData => None,
            },
            upstream = reconnect(&self.relay, &self.request, &self.endpoint) => Some(upstream),
            () = timers.sleep_until(deadline) => None,
            () = shutdown.given() => None,
        };
        let Some(upstream) = upstream else {
            self.relay.borrow_mut().record_unregistered_result(&self.request, RequestResult::Failed);
            self.downstream.close_with(protocol::FAILED).await;
            return None;
        };
        self.establish(upstream).await
    }

    async fn establish(self, upstream: UpstreamStream) -> Option<EstablishedConnection> {
        // Only now: a client whose endpoint did not return in time may ask for its connection again.
        self.relay.borrow_mut().id_used(&self.connection_id);
        let adopted = self.relay.borrow_mut().adopt_connection(&self.request, self.endpoint);
        let Some((id, commands)) = adopted else {
            self.downstream.close_with(protocol::FAILED).await;
            return None;
        };
        let accepted = AcceptedConnection {
            guard: ConnectionGuard::new(self.relay.clone(), id),
            relay: self.relay,
            downstream: self.downstream,
            request: self.request,
            commands,
            upstream_permit: self.upstream_permit,
            connection_id: self.connection_id,
        };
        Some(EstablishedConnection::new(accepted, upstream))
    }
}

/// Repeats attempts to connect until the endpoint accepts the connection.
async fn reconnect(relay: &SharedRelay, request: &OpenRequest, endpoint: &EndpointId) -> UpstreamStream {
    let timers = relay.borrow().timers.clone();
    loop {
        // Nothing is sent to an endpoint in maintenance, not even a connection that was established there.
        let address =
            relay.borrow().endpoint_address(endpoint).filter(|_| !relay.borrow().in_maintenance(endpoint));
        if let Some(address) = address {
            let upstream = tokio::select! {
                upstream = attempt::reconnect(relay, request, endpoint, address) => upstream,
                () = timers.sleep(ATTEMPT_TIMEOUT) => None,
            };
            if let Some(upstream) = upstream {
                return upstream;
            }
        }
        timers.sleep(RETRY_INTERVAL).await;
    }
}
