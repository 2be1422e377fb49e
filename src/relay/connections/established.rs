//! The established state of a connection: relays lines until the connection ends, and reports its end.

use honeyknot_balancer::Outcome;
use tokio::sync::mpsc::UnboundedReceiver;

use super::attempt::UpstreamStream;
use super::client_stream::ClientStream;
use super::connection_guard::{ConnectionGuard, Reservations};
use super::line_relay::{ConnectionEnd, LineRelay};
use super::metric_labels::connection_end_reason;
use super::protocol::{LastLine, OpenRequest};
use super::streams::Streams;
use super::transfer::{ConnectionTransfer, TransferResources};
use crate::relay::{ConnectionCommand, ConnectionIdGuard, DescriptorPermit, SharedRelay};

/// The parts of a connection that an endpoint has just accepted.
pub(super) struct AcceptedConnection {
    pub(super) relay: SharedRelay,
    pub(super) downstream: ClientStream,
    pub(super) request: OpenRequest,
    pub(super) commands: UnboundedReceiver<ConnectionCommand>,
    pub(super) guard: ConnectionGuard,
    pub(super) upstream_permit: DescriptorPermit,
    pub(super) connection_id: ConnectionIdGuard,
}

/// A connection between a client and its endpoint.
pub(super) struct EstablishedConnection {
    pub(super) relay: SharedRelay,
    pub(super) guard: ConnectionGuard,
    pub(super) line_relay: LineRelay,
    pub(super) commands: UnboundedReceiver<ConnectionCommand>,
    pub(super) reservations: Reservations,
}

/// The state that follows the established state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinalState {
    /// Both sides of the connection are closed.
    Closed,
    /// Another process of this relay continues the connection.
    Transferred,
}

impl EstablishedConnection {
    pub(super) fn new(accepted: AcceptedConnection, upstream: UpstreamStream) -> EstablishedConnection {
        let AcceptedConnection {
            relay,
            downstream,
            request,
            commands,
            guard,
            upstream_permit,
            connection_id,
        } = accepted;
        let ClientStream { stream, received, permit, .. } = downstream;
        let streams = Streams { downstream: stream, upstream: upstream.stream };
        let line_relay = LineRelay::new(relay.clone(), guard.id, request, streams)
            .with_received(received, upstream.received);
        let reservations = Reservations::new(permit, upstream_permit, connection_id);
        EstablishedConnection { relay, guard, line_relay, commands, reservations }
    }

    /// Relays lines until the connection ends, reports the end, and closes or transfers the connection.
    pub(super) async fn run(mut self) -> FinalState {
        let end = self.line_relay.run(&mut self.commands).await;
        let outcome = outcome_of(end, self.line_relay.last_line());
        let end_reason = connection_end_reason(end, self.line_relay.last_line());
        let endpoint = self.relay.borrow().current_endpoint(self.guard.id);
        self.relay.borrow_mut().record_connection_ended(end_reason);
        if end == ConnectionEnd::EndpointSilent {
            self.relay.borrow_mut().record_silent_migration();
        }
        self.relay.borrow_mut().attempt_ended(self.guard.id, outcome, true, None);
        let write = self.relay.borrow().final_writes.add_one();
        self.guard.release_answered();
        match (end, endpoint) {
            (ConnectionEnd::Transferred, Some(endpoint)) => {
                let resources = TransferResources::new(write, Some(self.reservations));
                let transfer = self.line_relay.into_transfer(endpoint.0.as_ref().to_owned(), resources);
                transfer_or_migrate(&self.relay, transfer)
            }
            (end, _) => {
                self.line_relay.close(end, write).await;
                FinalState::Closed
            }
        }
    }
}

/// Transfers a connection to the process that accepts clients now; migrates the client if there is no such
/// process.
fn transfer_or_migrate(relay: &SharedRelay, transfer: ConnectionTransfer) -> FinalState {
    let timers = relay.borrow().timers.clone();
    let sent = relay.borrow_mut().transfer_connection(transfer);
    match sent {
        Ok(()) => FinalState::Transferred,
        Err(unsent) => {
            unsent.migrate(&timers);
            FinalState::Closed
        }
    }
}

/// Returns the outcome that is reported to the balancer.
fn outcome_of(end: ConnectionEnd, last_line: LastLine) -> Outcome {
    match (end, last_line) {
        (ConnectionEnd::DownstreamClosed(_) | ConnectionEnd::Migrated | ConnectionEnd::Transferred, _) => {
            Outcome::Cancelled
        }
        (ConnectionEnd::EndpointSilent, _) => Outcome::Reset,
        (ConnectionEnd::UpstreamClosed(_), LastLine::Completed) => Outcome::Ok,
        (ConnectionEnd::UpstreamClosed(_), LastLine::Migrate) => Outcome::Cancelled,
        (ConnectionEnd::UpstreamClosed(_), LastLine::Failed) => Outcome::Error,
        (ConnectionEnd::UpstreamClosed(_), LastLine::Other) => Outcome::Reset,
    }
}
