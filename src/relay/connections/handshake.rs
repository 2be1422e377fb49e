//! The idle state of a connection: reads lines until the client requests a connection to an endpoint.

use honeyknot_balancer::Micros;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tracing::debug;

use super::admission::ValidRequest;
use super::client_stream::ClientStream;
use super::idle::IdleSlot;
use super::protocol::{self, OpenRequest, ProtocolError};
use crate::relay::SharedRelay;
use crate::relay::metrics::labels::FailureCause;
use crate::relay::metrics::recorder::RequestResult;

/// How long a connection may stay idle, however many bytes or `PING` it sends.
///
/// A client is owed an answer or a close within 3 s, of which the wait to be accepted is a part. Clients on slow links
/// take 2 s to write their request.
const REQUEST_TIMEOUT: Micros = 2_500_000;

/// A connection whose client has not sent a complete request.
pub(super) struct IdleConnection {
    pub(super) relay: SharedRelay,
    pub(super) downstream: ClientStream,
    pub(super) slot: IdleSlot,
}

/// What a client did in the idle state.
enum Handshake {
    /// It sent a request.
    Requested(Box<OpenRequest>),
    /// It was silent for too long after a `PING`, or the relay shuts down.
    Expired,
    /// It left before it began a line.
    Left,
}

impl IdleConnection {
    /// Waits for a valid request; none if the connection has been closed instead.
    pub(super) async fn run(mut self) -> Option<ValidRequest> {
        match self.receive_request().await {
            // A request that arrives in this moment is never read. A rejection makes no promise, so it is a true
            // answer to that request too, which would otherwise be lost without one.
            Ok(Handshake::Expired) => {
                self.answer_and_close(protocol::REJECTED).await;
                None
            }
            Ok(Handshake::Requested(request)) => self.validate(*request).await,
            Ok(Handshake::Left) => None,
            Err(error) => {
                debug!(target: "client", %error, "request rejected");
                self.relay.borrow_mut().record_failed(FailureCause::ProtocolError);
                self.answer_and_close(protocol::FAILED).await;
                None
            }
        }
    }

    /// Reserves the connection id of a request; closes the connection if that is not possible.
    async fn validate(self, request: OpenRequest) -> Option<ValidRequest> {
        let reserved = self.relay.borrow().reserve_connection_id(&request);
        let Some(connection_id) = reserved else {
            let error = "connection id already open, or unknown class";
            debug!(target: "client", error, "request rejected");
            self.relay.borrow_mut().record_unregistered_result(&request, RequestResult::Failed);
            self.answer_and_close(protocol::FAILED).await;
            return None;
        };
        // Gives the idle slot back first: the oldest idle connection may be evicted for this request.
        let IdleConnection { relay, downstream, slot } = self;
        drop(slot);
        Some(ValidRequest { relay, downstream, request, connection_id })
    }

    async fn answer_and_close(mut self, line: &[u8]) {
        self.slot.mark_answered();
        self.downstream.close_with(line).await;
    }

    /// Reads lines until the client requests a connection, leaves, or its time is over.
    async fn receive_request(&mut self) -> Result<Handshake, ProtocolError> {
        let timers = self.downstream.timers.clone();
        let due = timers.clock.now() + REQUEST_TIMEOUT;
        let shutdown = self.slot.shutdown_notice();
        let mut pinged = false;
        loop {
            let line_end = tokio::select! {
                biased;
                line_end = self.receive_line() => line_end?,
                () = timers.sleep_until(due) => {
                    let silent_after_ping = pinged && self.downstream.received.is_empty();
                    return if silent_after_ping {
                        Ok(Handshake::Expired)
                    } else {
                        Err(ProtocolError::FirstLineTimeout)
                    };
                }
                () = shutdown.notified() => return Ok(Handshake::Expired),
            };
            let Some(line_end) = line_end else { return Ok(Handshake::Left) };
            let line = self.downstream.received.split_to(line_end).freeze();
            if !self.downstream.received.is_empty() {
                return Err(ProtocolError::DataBeforeAnswer);
            }
            if protocol::without_line_end(&line) != protocol::PING {
                return OpenRequest::parse(line).map(|request| Handshake::Requested(Box::new(request)));
            }
            let shutting_down = self.relay.borrow().is_shutting_down();
            let answer = if shutting_down { protocol::REJECTED } else { protocol::PONG };
            if self.downstream.stream.write_all(answer).await.is_err() {
                return Ok(Handshake::Left);
            }
            pinged = true;
            self.slot.mark_answered();
        }
    }

    /// Reads until a line is complete; none if the client leaves before it begins one.
    async fn receive_line(&mut self) -> Result<Option<usize>, ProtocolError> {
        loop {
            if let Some(line_end) = protocol::first_line_end(&self.downstream.received)? {
                return Ok(Some(line_end));
            }
            let received = &mut self.downstream.received;
            match self.downstream.stream.read_buf(received).await {
                Ok(0) if !received.is_empty() => return Err(ProtocolError::FirstLineTruncated),
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) if protocol::is_open_request_prefix(received) => self.slot.mark_receiving(),
                Ok(_) => {}
            }
        }
    }
}
