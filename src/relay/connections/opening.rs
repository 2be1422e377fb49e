//! The opening state of a connection: makes the attempts that the balancer requests, until one establishes
//! the connection or the client receives a final response.

use std::cell::Cell;

use honeyknot_balancer::{LoadReport, Outcome};
use tokio::sync::mpsc::UnboundedReceiver;

use super::admission::{self, ValidRequest};
use super::attempt::{self, AttemptResult, UpstreamStream};
use super::client_stream::{ClientActivity, ClientStream};
use super::connection_guard::ConnectionGuard;
use super::established::{AcceptedConnection, EstablishedConnection};
use super::protocol::{self, MICROS_PER_MILLISECOND, OpenRequest};
use crate::relay::metrics::labels::{FailureCause, RejectionReason};
use crate::relay::metrics::recorder::RequestResult;
use crate::relay::{AttemptRequest, ConnectionCommand, ConnectionIdGuard, DescriptorPermit, SharedRelay};

/// A connection that waits for an endpoint to accept it.
pub(super) struct OpeningConnection {
    relay: SharedRelay,
    downstream: ClientStream,
    request: OpenRequest,
    commands: UnboundedReceiver<ConnectionCommand>,
    guard: ConnectionGuard,
    upstream_permit: DescriptorPermit,
    connection_id: ConnectionIdGuard,
}

/// How the wait for an attempt ended.
enum AttemptEnd {
    /// The attempt ended with this result.
    Result(AttemptResult),
    /// The client disconnected.
    ClientDisconnected,
    /// The attempt was abandoned, and the client is answered according to this command.
    Respond(ConnectionCommand),
}

/// The next step after a command in the opening state.
enum Step {
    /// Wait for the next command.
    Continue,
    /// Continue in the established state.
    Established(UpstreamStream),
    /// Send a last line to the client, record the result and close the connection.
    Respond(Vec<u8>, RequestResult),
    /// Close the connection without a response, as the client has disconnected.
    Close,
}

impl OpeningConnection {
    /// Registers a request at the relay. Returns `None` if the request was not admitted; the client has then
    /// been answered and its connection closed.
    pub(super) async fn admit(valid: ValidRequest) -> Option<OpeningConnection> {
        let ValidRequest { relay, downstream, request, connection_id } = valid;
        let permit = relay.borrow().acquire_descriptor().filter(|_| relay.borrow().can_admit());
        let Some(upstream_permit) = permit else {
            let reason = rejection_reason(&relay);
            admission::reject(&relay, downstream, &request, reason).await;
            return None;
        };
        let registered = relay.borrow_mut().request_connection(&request);
        let Some((id, commands)) = registered else {
            downstream.close_with(protocol::FAILED).await;
            return None;
        };
        let guard = ConnectionGuard::new(relay.clone(), id);
        Some(OpeningConnection {
            relay,
            downstream,
            request,
            commands,
            guard,
            upstream_permit,
            connection_id,
        })
    }

    /// Executes commands until the connection is established. Returns `None` if it was closed instead.
    pub(super) async fn run(mut self) -> Option<EstablishedConnection> {
        let timers = self.downstream.timers.clone();
        let time_remaining = self.request.time_remaining(self.relay.borrow().max_deadline());
        // Ensures that the client is answered in time even if the balancer never decides.
        let overdue = timers.sleep(time_remaining.saturating_add(self.relay.borrow().answer_grace()));
        tokio::pin!(overdue);
        loop {
            let command = tokio::select! {
                biased;
                activity = self.downstream.next_activity() => match activity {
                    ClientActivity::Disconnected => return None,
                    ClientActivity::SentData => self.abandon(FailureCause::DataBeforeAnswer),
                },
                command = self.commands.recv() => command.unwrap_or(ConnectionCommand::Fail),
                () = &mut overdue => self.abandon(FailureCause::Overdue),
            };
            match self.execute(command).await {
                Step::Continue => {}
                Step::Established(upstream) => return Some(self.establish(upstream)),
                Step::Respond(line, result) => {
                    self.respond_and_close(&line, result).await;
                    return None;
                }
                Step::Close => return None,
            }
        }
    }

    async fn execute(&mut self, command: ConnectionCommand) -> Step {
        match command {
            ConnectionCommand::Forward(attempt) => self.forward(&attempt).await,
            ConnectionCommand::Reject(_) | ConnectionCommand::Fail => response_to(&command),
            // Without an attempt in flight or an established connection, there is nothing to do.
            ConnectionCommand::Cancel(_)
            | ConnectionCommand::Migrate { .. }
            | ConnectionCommand::Transfer => Step::Continue,
        }
    }

    /// Makes an attempt and reports its end to the relay, unless it established the connection.
    async fn forward(&mut self, attempt: &AttemptRequest) -> Step {
        match self.attempt(attempt).await {
            AttemptEnd::Result(AttemptResult::Established(upstream)) => Step::Established(upstream),
            AttemptEnd::Result(AttemptResult::Failed(outcome, report)) => {
                self.attempt_failed(outcome, report);
                Step::Continue
            }
            AttemptEnd::Result(AttemptResult::Completed(response)) => {
                self.request_settled(Outcome::Ok);
                Step::Respond(response.into(), RequestResult::Failed)
            }
            AttemptEnd::ClientDisconnected => Step::Close,
            AttemptEnd::Respond(command) => {
                self.request_settled(Outcome::Cancelled);
                response_to(&command)
            }
        }
    }

    /// Reports a failed attempt; the client still waits for its response.
    fn attempt_failed(&self, outcome: Outcome, report: Option<LoadReport>) {
        if outcome == Outcome::Rejected {
            self.connection_id.mark_rejected();
        }
        self.relay.borrow_mut().attempt_ended(self.guard.id, outcome, false, report);
    }

    /// Reports an attempt after which the client receives its final response.
    fn request_settled(&self, outcome: Outcome) {
        self.relay.borrow_mut().attempt_ended(self.guard.id, outcome, true, None);
    }

    /// Makes an attempt. Unless it establishes the connection, the socket to the endpoint is closed on
    /// return.
    async fn attempt(&mut self, attempt: &AttemptRequest) -> AttemptEnd {
        let timers = self.downstream.timers.clone();
        let request_sent = Cell::new(false);
        let deadline = timers.clock.now().saturating_add(attempt.timeout);
        let connect = attempt::connect(
            &self.relay,
            &self.request,
            &self.connection_id,
            attempt,
            deadline,
            &request_sent,
        );
        tokio::pin!(connect);
        loop {
            tokio::select! {
                biased;
                // Polled first, so that nothing is forwarded once the client has disconnected.
                activity = self.downstream.next_activity() => return match activity {
                    ClientActivity::Disconnected => AttemptEnd::ClientDisconnected,
                    ClientActivity::SentData => {
                        self.relay.borrow_mut().record_failed(FailureCause::DataBeforeAnswer);
                        AttemptEnd::Respond(ConnectionCommand::Fail)
                    }
                },
                result = &mut connect => return AttemptEnd::Result(result),
                () = timers.sleep_until(deadline) => {
                    let outcome = if request_sent.get() { Outcome::Timeout } else { Outcome::ConnectFailed };
                    return AttemptEnd::Result(AttemptResult::Failed(outcome, None));
                }
                command = self.commands.recv() => match command {
                    Some(ConnectionCommand::Cancel(id)) if id == attempt.attempt => {
                        return AttemptEnd::Result(AttemptResult::Failed(Outcome::Cancelled, None));
                    }
                    Some(command @ (ConnectionCommand::Reject(_) | ConnectionCommand::Fail)) => {
                        return AttemptEnd::Respond(command);
                    }
                    Some(_) => {}
                    None => return AttemptEnd::Respond(ConnectionCommand::Fail),
                },
            }
        }
    }

    /// Fails the request without waiting for the balancer, and reports its end to the balancer. Returns the
    /// command that answers the client.
    fn abandon(&self, cause: FailureCause) -> ConnectionCommand {
        self.relay.borrow_mut().connection_closed(self.guard.id, false);
        self.relay.borrow_mut().record_failed(cause);
        ConnectionCommand::Fail
    }

    fn establish(self, upstream: UpstreamStream) -> EstablishedConnection {
        self.relay.borrow_mut().connection_established(self.guard.id);
        let accepted = AcceptedConnection {
            relay: self.relay,
            downstream: self.downstream,
            request: self.request,
            commands: self.commands,
            guard: self.guard,
            upstream_permit: self.upstream_permit,
            connection_id: self.connection_id,
        };
        EstablishedConnection::new(accepted, upstream)
    }

    async fn respond_and_close(self, line: &[u8], result: RequestResult) {
        self.relay.borrow_mut().request_answered(self.guard.id, result);
        self.guard.release_answered();
        self.downstream.close_with(line).await;
    }
}

/// Returns why the relay cannot admit a request.
fn rejection_reason(relay: &SharedRelay) -> RejectionReason {
    match (relay.borrow().is_shutting_down(), relay.borrow().can_admit()) {
        (true, _) => RejectionReason::ShuttingDown,
        (false, false) => RejectionReason::MaxOpenRequests,
        (false, true) => RejectionReason::Descriptors,
    }
}

/// Returns the step that sends the client the response for a command to reject or fail its request.
fn response_to(command: &ConnectionCommand) -> Step {
    match command {
        // Rounded up, as a client that retries too early would be rejected again.
        ConnectionCommand::Reject(retry_after) => Step::Respond(
            protocol::encode_rejected(retry_after.div_ceil(MICROS_PER_MILLISECOND)),
            RequestResult::Rejected,
        ),
        _ => Step::Respond(protocol::FAILED.to_vec(), RequestResult::Failed),
    }
}
