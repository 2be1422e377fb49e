//! The idle state of a connection: reads lines until the client sends a request.

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

/// How long a connection may stay idle in microseconds, regardless of the bytes or `PING` lines that it
/// sends.
///
/// A client must be answered or closed within 3 s of connecting, which includes the wait to be accepted.
/// Clients on slow links need 2 s to write their request.
const REQUEST_TIMEOUT: Micros = 2_500_000;

/// A connection whose client has not sent a complete request.
pub(super) struct IdleConnection {
    pub(super) relay: SharedRelay,
    pub(super) downstream: ClientStream,
    pub(super) slot: IdleSlot,
}

/// How the idle state ended.
enum HandshakeResult {
    /// The client sent a request.
    Requested(Box<OpenRequest>),
    /// The client sent nothing for too long after a `PING`, or the relay is shutting down.
    Expired,
    /// The client disconnected before it began another line, or the connection broke.
    Disconnected,
}

impl IdleConnection {
    /// Waits for a valid request. Returns `None` if the connection was closed instead.
    pub(super) async fn run(mut self) -> Option<ValidRequest> {
        match self.receive_request().await {
            // A request that arrives at this moment is no longer read. The rejection is a correct response to
            // it as well: it tells the client that the request did not run.
            Ok(HandshakeResult::Expired) => {
                self.respond_and_close(protocol::REJECTED).await;
                None
            }
            Ok(HandshakeResult::Requested(request)) => self.validate(*request).await,
            Ok(HandshakeResult::Disconnected) => None,
            Err(error) => {
                debug!(target: "client", %error, "invalid request, closing connection");
                self.relay.borrow_mut().record_failed(FailureCause::ProtocolError);
                self.respond_and_close(protocol::FAILED).await;
                None
            }
        }
    }

    /// Reserves the connection id of a request. If that is not possible, closes the connection and returns
    /// `None`.
    async fn validate(self, request: OpenRequest) -> Option<ValidRequest> {
        let reserved = self.relay.borrow().reserve_connection_id(&request);
        let connection_id = match reserved {
            Ok(connection_id) => connection_id,
            Err(error) => {
                debug!(target: "client", %error, "invalid request, closing connection");
                self.relay.borrow_mut().record_unregistered_result(&request, RequestResult::Failed);
                self.respond_and_close(protocol::FAILED).await;
                return None;
            }
        };
        // Releases the idle slot first, so that this connection is not the one evicted to admit its own
        // request.
        let IdleConnection { relay, downstream, slot } = self;
        drop(slot);
        Some(ValidRequest { relay, downstream, request, connection_id })
    }

    async fn respond_and_close(mut self, line: &[u8]) {
        self.slot.mark_answered();
        self.downstream.close_with(line).await;
    }

    /// Reads lines until the client sends a request or disconnects, or the timeout expires.
    async fn receive_request(&mut self) -> Result<HandshakeResult, ProtocolError> {
        let timers = self.downstream.timers.clone();
        let deadline = timers.clock.now() + REQUEST_TIMEOUT;
        let shutdown = self.relay.borrow().shutdown_notice.clone();
        let mut pinged = false;
        loop {
            let line_end = tokio::select! {
                biased;
                line_end = self.receive_line() => line_end?,
                () = timers.sleep_until(deadline) => {
                    let silent_after_ping = pinged && self.downstream.received.is_empty();
                    return if silent_after_ping {
                        Ok(HandshakeResult::Expired)
                    } else {
                        Err(ProtocolError::FirstLineTimeout)
                    };
                }
                () = shutdown.given() => return Ok(HandshakeResult::Expired),
            };
            let Some(line_end) = line_end else { return Ok(HandshakeResult::Disconnected) };
            let line = self.downstream.received.split_to(line_end).freeze();
            if !self.downstream.received.is_empty() {
                return Err(ProtocolError::DataBeforeAnswer);
            }
            if protocol::without_line_end(&line) != protocol::PING {
                return OpenRequest::parse(line).map(|request| HandshakeResult::Requested(Box::new(request)));
            }
            let shutting_down = self.relay.borrow().is_shutting_down();
            let response = if shutting_down { protocol::REJECTED } else { protocol::PONG };
            let sent = tokio::select! {
                biased;
                sent = self.downstream.stream.write_all(response) => sent,
                // The client does not read the responses.
                () = timers.sleep_until(deadline) => return Ok(HandshakeResult::Expired),
            };
            if sent.is_err() {
                return Ok(HandshakeResult::Disconnected);
            }
            pinged = true;
            self.slot.mark_answered();
        }
    }

    /// Reads until a line is complete and returns its length. Returns `None` if the client disconnected
    /// between lines.
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
