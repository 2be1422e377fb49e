//! The opening state of a connection: makes the attempts that the balancer commands until one establishes it or the
//! client has its answer.

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

/// What ended the wait for an attempt.
enum AttemptEnd {
    /// The attempt itself.
    Result(AttemptResult),
    /// The client left.
    ClientLeft,
    /// The client is to be answered without the attempt's result.
    Answer(ConnectionCommand),
}

/// What follows a command in the opening state.
enum Step {
    /// Wait for the next command.
    Continue,
    /// The connection is established.
    Established(UpstreamStream),
    /// Send the client a last line.
    Answer(Vec<u8>, RequestResult),
    /// The client has left.
    Close,
}

impl OpeningConnection {
    /// Registers a request at the relay; none if it was rejected and its connection closed.
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

    /// Carries out commands until the connection is established; none if it has been closed instead.
    pub(super) async fn run(mut self) -> Option<EstablishedConnection> {
        let timers = self.downstream.timers.clone();
        let time_remaining = self.request.time_remaining(self.relay.borrow().max_deadline());
        // The client still gets its one answer in time if the balancer should never decide.
        let overdue = timers.sleep(time_remaining.saturating_add(self.relay.borrow().answer_grace()));
        tokio::pin!(overdue);
        loop {
            let command = tokio::select! {
                biased;
                activity = self.downstream.activity() => match activity {
                    ClientActivity::Left => return None,
                    ClientActivity::SentData => self.abandon(FailureCause::DataBeforeAnswer),
                },
                command = self.commands.recv() => command.unwrap_or(ConnectionCommand::Fail),
                () = &mut overdue => self.abandon(FailureCause::Overdue),
            };
            match self.execute(command).await {
                Step::Continue => {}
                Step::Established(upstream) => return Some(self.establish(upstream)),
                Step::Answer(line, answer) => {
                    self.answer_and_close(&line, answer).await;
                    return None;
                }
                Step::Close => return None,
            }
        }
    }

    async fn execute(&mut self, command: ConnectionCommand) -> Step {
        match command {
            ConnectionCommand::Forward(attempt) => self.forward(&attempt).await,
            ConnectionCommand::Reject(_) | ConnectionCommand::Fail => answer_of(&command),
            // No attempt is in flight and the connection is not established.
            ConnectionCommand::Cancel(_) | ConnectionCommand::Migrate | ConnectionCommand::Transfer => {
                Step::Continue
            }
        }
    }

    /// Makes an attempt and reports its end to the relay.
    async fn forward(&mut self, attempt: &AttemptRequest) -> Step {
        match self.attempt(attempt).await {
            AttemptEnd::Result(AttemptResult::Established(upstream)) => Step::Established(upstream),
            AttemptEnd::Result(AttemptResult::Failed(outcome, report)) => {
                self.attempt_failed(outcome, report);
                Step::Continue
            }
            AttemptEnd::Result(AttemptResult::Completed(answer)) => {
                self.request_settled(Outcome::Ok);
                Step::Answer(answer.into(), RequestResult::Failed)
            }
            AttemptEnd::ClientLeft => Step::Close,
            AttemptEnd::Answer(command) => {
                self.request_settled(Outcome::Cancelled);
                answer_of(&command)
            }
        }
    }

    /// Reports an attempt that has not answered the client.
    fn attempt_failed(&self, outcome: Outcome, report: Option<LoadReport>) {
        self.relay.borrow_mut().attempt_ended(self.guard.id, outcome, false, report);
    }

    /// Reports an attempt after which the client is answered.
    fn request_settled(&self, outcome: Outcome) {
        self.relay.borrow_mut().attempt_ended(self.guard.id, outcome, true, None);
    }

    /// Makes an attempt. Unless it is established, its connection is closed when this returns.
    async fn attempt(&mut self, attempt: &AttemptRequest) -> AttemptEnd {
        let timers = self.downstream.timers.clone();
        let request_sent = Cell::new(false);
        let due = timers.clock.now().saturating_add(attempt.timeout);
        let connect = attempt::connect(&self.relay, &self.request, attempt, due, &request_sent);
        tokio::pin!(connect);
        loop {
            tokio::select! {
                biased;
                // First, so that a connection that comes up as the client leaves carries nothing.
                activity = self.downstream.activity() => return match activity {
                    ClientActivity::Left => AttemptEnd::ClientLeft,
                    ClientActivity::SentData => {
                        self.relay.borrow_mut().record_failed(FailureCause::DataBeforeAnswer);
                        AttemptEnd::Answer(ConnectionCommand::Fail)
                    }
                },
                result = &mut connect => return AttemptEnd::Result(result),
                () = timers.sleep_until(due) => {
                    let outcome = if request_sent.get() { Outcome::Timeout } else { Outcome::ConnectFailed };
                    return AttemptEnd::Result(AttemptResult::Failed(outcome, None));
                }
                command = self.commands.recv() => match command {
                    Some(ConnectionCommand::Cancel(id)) if id == attempt.attempt => {
                        return AttemptEnd::Result(AttemptResult::Failed(Outcome::Cancelled, None));
                    }
                    Some(command @ (ConnectionCommand::Reject(_) | ConnectionCommand::Fail)) => {
                        return AttemptEnd::Answer(command);
                    }
                    Some(_) => {}
                    None => return AttemptEnd::Answer(ConnectionCommand::Fail),
                },
            }
        }
    }

    /// Tells the balancer that the relay answers by itself, for this cause.
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

    async fn answer_and_close(self, line: &[u8], answer: RequestResult) {
        self.relay.borrow_mut().request_answered(self.guard.id, answer);
        self.guard.release_answered();
        self.downstream.close_with(line).await;
    }
}

/// Why the relay cannot admit a request.
fn rejection_reason(relay: &SharedRelay) -> RejectionReason {
    match (relay.borrow().is_shutting_down(), relay.borrow().can_admit()) {
        (true, _) => RejectionReason::ShuttingDown,
        (false, false) => RejectionReason::MaxOpenRequests,
        (false, true) => RejectionReason::Descriptors,
    }
}

/// The last line for a command that answers the client.
fn answer_of(command: &ConnectionCommand) -> Step {
    match command {
        // Rounded up: a client that retries too early is rejected again.
        ConnectionCommand::Reject(retry_after) => Step::Answer(
            protocol::encode_rejected(retry_after.div_ceil(MICROS_PER_MILLISECOND)),
            RequestResult::Rejected,
        ),
        _ => Step::Answer(protocol::FAILED.to_vec(), RequestResult::Failed),
    }
}
