//! Relays lines between a client and its endpoint until the connection ends.

use std::io;
use std::rc::Rc;

use bytes::BytesMut;
use honeyknot_balancer::{Micros, RequestId};
use tokio::io::Interest;
use tokio::sync::mpsc::UnboundedReceiver;

use super::client_stream::BUFFER_BYTES;
use super::downstream_buffer::DownstreamBuffer;
use super::graceful_close::{self, CloseKind};
use super::protocol::{EndpointLine, LastLine, LineTracker, OpenRequest};
use super::silence_detector::SilenceDetector;
use super::streams::{SideClosed, Streams, write_available};
use super::transfer::{ConnectionSnapshot, ConnectionTransfer, TransferResources};
use crate::relay::counter::CounterGuard;
use crate::relay::metrics::labels::Direction;
use crate::relay::timer_wheel::Timers;
use crate::relay::{ConnectionCommand, SharedRelay};

/// Interval at which an established connection without traffic checks its state, in microseconds.
const CHECK_INTERVAL: Micros = 250_000;
/// Maximum delay of a connection's end while bytes in flight are sent, in microseconds.
const FLUSH_TIMEOUT: Micros = 600_000;

/// How an established connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The endpoint closed the connection.
    UpstreamClosed(CloseKind),
    /// The client closed the connection.
    DownstreamClosed(CloseKind),
    /// The client is migrated because of a decision of the balancer or a shutdown of the relay.
    Migrated,
    /// The endpoint no longer responds.
    EndpointSilent,
    /// Another process of this relay continues the connection.
    Transferred,
}

/// Both sides of an established connection and the bytes in flight between them.
pub(super) struct LineRelay {
    relay: SharedRelay,
    timers: Rc<Timers>,
    id: RequestId,
    request: OpenRequest,
    streams: Streams,
    to_downstream: DownstreamBuffer,
    to_upstream: BytesMut,
    line_tracker: LineTracker,
    last_line: LastLine,
    upstream_closed: Option<SideClosed>,
    downstream_closed: Option<SideClosed>,
    /// Time at which a migration no longer waits for the end of a line, in Unix microseconds; `None` without a
    /// migration.
    migration_deadline: Option<Micros>,
    transfer_requested: bool,
    /// Load that the endpoint last reported for this connection, if any.
    load: Option<f64>,
    silence: SilenceDetector,
}

impl LineRelay {
    pub(super) fn new(
        relay: SharedRelay, id: RequestId, request: OpenRequest, streams: Streams,
    ) -> LineRelay {
        let timers = relay.borrow().timers.clone();
        LineRelay {
            relay,
            timers,
            id,
            request,
            streams,
            to_downstream: DownstreamBuffer::default(),
            to_upstream: BytesMut::new(),
            line_tracker: LineTracker::default(),
            last_line: LastLine::Other,
            upstream_closed: None,
            downstream_closed: None,
            migration_deadline: None,
            transfer_requested: false,
            load: None,
            silence: SilenceDetector::default(),
        }
    }

    /// Adds the bytes that both sides sent before the connection was established.
    pub(super) fn with_received(mut self, from_downstream: BytesMut, from_upstream: BytesMut) -> LineRelay {
        self.to_upstream = from_downstream;
        self.receive_lines(from_upstream);
        self
    }

    /// Restores the state that another process has sent.
    pub(super) fn with_snapshot(mut self, snapshot: ConnectionSnapshot) -> LineRelay {
        let between_lines = snapshot.line_tracker.between_lines();
        self.to_downstream = DownstreamBuffer::restore(&snapshot.to_downstream, between_lines);
        self.to_upstream = BytesMut::from(&snapshot.to_upstream[..]);
        self.line_tracker = snapshot.line_tracker;
        self.last_line = snapshot.last_line;
        self.silence = SilenceDetector::restore(snapshot.unanswered_since);
        self.load = snapshot.load;
        self
    }

    /// Returns the kind of the endpoint's last complete line.
    pub(super) fn last_line(&self) -> LastLine {
        self.last_line
    }

    /// Converts the connection into the form in which it is transferred to another process. The resources are
    /// held until it has been sent or closed.
    pub(super) fn into_transfer(self, endpoint: String, resources: TransferResources) -> ConnectionTransfer {
        let snapshot = ConnectionSnapshot {
            request: self.request.as_bytes().to_vec(),
            endpoint,
            to_downstream: self.to_downstream.unsent(),
            to_upstream: self.to_upstream.to_vec(),
            line_tracker: self.line_tracker,
            last_line: self.last_line,
            unanswered_since: self.silence.unanswered_since(),
            load: self.load,
        };
        let Streams { downstream, upstream } = self.streams;
        ConnectionTransfer { snapshot, downstream, upstream, resources }
    }

    /// Closes the sides that are still open: the remaining side in the way the first was closed, or both
    /// sides after a migration. `write` is released once the client has been sent its last bytes.
    pub(super) async fn close(self, end: ConnectionEnd, write: CounterGuard) {
        let LineRelay { streams: Streams { downstream, upstream }, timers, to_downstream, .. } = self;
        match end {
            ConnectionEnd::UpstreamClosed(kind) => {
                graceful_close::close_like(kind, &timers, downstream).await
            }
            ConnectionEnd::DownstreamClosed(kind) => {
                graceful_close::close_like(kind, &timers, upstream).await
            }
            ConnectionEnd::Migrated | ConnectionEnd::EndpointSilent | ConnectionEnd::Transferred => {
                let last_bytes = to_downstream.into_final_bytes();
                graceful_close::migrate(&timers, downstream, upstream, &last_bytes, write).await;
            }
        }
    }

    /// Relays lines until the connection ends.
    pub(super) async fn run(&mut self, commands: &mut UnboundedReceiver<ConnectionCommand>) -> ConnectionEnd {
        let check = self.timers.sleep_until(self.next_check());
        tokio::pin!(check);
        let mut has_read = false;
        loop {
            self.flush();
            if let Some(end) = self.connection_end() {
                return end;
            }
            // Waiting for readiness does not count against the runtime's budget of a task, so a connection whose
            // peers send and receive at full speed would never yield by itself.
            if std::mem::take(&mut has_read) {
                tokio::task::yield_now().await;
            }
            tokio::select! {
                biased;
                Some(command) = commands.recv() => {
                    self.execute(&command);
                    check.set(self.timers.sleep_until(self.next_check()));
                }
                ready = self.streams.upstream.readable(), if self.can_read_upstream() => {
                    if ready.is_ok() {
                        has_read = true;
                        self.read_upstream();
                    }
                }
                // A reset is noticed while unread lines of the client remain; reading them all first would relay
                // them for a client that has left.
                ready = self.streams.downstream.ready(Interest::ERROR), if self.downstream_closed.is_none() => {
                    if ready.is_ok() {
                        self.downstream_reset();
                    }
                }
                ready = self.streams.downstream.readable(), if self.can_read_downstream() => {
                    if ready.is_ok() {
                        has_read = true;
                        self.read_downstream();
                    }
                }
                _ = self.streams.downstream.writable(), if !self.to_downstream.is_empty() => {}
                _ = self.streams.upstream.writable(), if !self.to_upstream.is_empty() => {}
                () = &mut check => check.set(self.timers.sleep_until(self.next_check())),
            }
        }
    }

    /// Executes a command. Only `Migrate` and `Transfer` apply to an established connection.
    fn execute(&mut self, command: &ConnectionCommand) {
        match command {
            ConnectionCommand::Migrate { deadline } => {
                let earlier = self.migration_deadline.map_or(*deadline, |known| known.min(*deadline));
                self.migration_deadline = Some(earlier);
            }
            ConnectionCommand::Transfer => self.transfer_requested = true,
            ConnectionCommand::Forward(_)
            | ConnectionCommand::Reject(_)
            | ConnectionCommand::Fail
            | ConnectionCommand::Cancel(_) => {}
        }
    }

    /// Returns when the connection checks its state next without traffic, in Unix microseconds.
    fn next_check(&self) -> Micros {
        let regular = self.timers.clock.now() + CHECK_INTERVAL;
        self.migration_deadline.map_or(regular, |deadline| regular.min(deadline))
    }

    fn can_read_upstream(&self) -> bool {
        self.upstream_closed.is_none() && self.to_downstream.is_empty()
    }

    fn can_read_downstream(&self) -> bool {
        self.downstream_closed.is_none() && self.to_upstream.is_empty()
    }

    /// Writes as many of the unsent bytes as the sockets accept without waiting.
    fn flush(&mut self) {
        let now = self.timers.clock.now();
        if let Err(error) = write_available(&self.streams.downstream, &mut self.to_downstream.sendable) {
            let closed = SideClosed { kind: CloseKind::from_error(&error), at: now };
            self.downstream_closed.get_or_insert(closed);
            self.to_downstream.sendable.clear();
        }
        // A failed write does not close the upstream side: its last lines may not have been read yet, and
        // reading them shows how it was closed.
        if write_available(&self.streams.upstream, &mut self.to_upstream).is_err() {
            self.to_upstream.clear();
        }
    }

    /// Returns how the connection ends, or `None` if it continues.
    fn connection_end(&self) -> Option<ConnectionEnd> {
        let now = self.timers.clock.now();
        let flush_overdue = |since: Micros| now >= since + FLUSH_TIMEOUT;
        if let Some(closed) = self.downstream_closed
            && (closed.kind == CloseKind::Reset || self.to_upstream.is_empty() || flush_overdue(closed.at))
        {
            return Some(ConnectionEnd::DownstreamClosed(closed.kind));
        }
        if let Some(closed) = self.upstream_closed
            && (self.to_downstream.is_empty() || flush_overdue(closed.at))
        {
            return Some(ConnectionEnd::UpstreamClosed(closed.kind));
        }
        if let Some(deadline) = self.migration_deadline
            && (self.between_lines() || now >= deadline)
        {
            return Some(ConnectionEnd::Migrated);
        }
        if self.transfer_requested && self.is_open() {
            return Some(ConnectionEnd::Transferred);
        }
        // While the client does not read, the relay does not read from the endpoint either, so the endpoint
        // must not count as silent.
        let silent = self.silence.is_silent(now);
        (silent && self.to_downstream.is_empty()).then_some(ConnectionEnd::EndpointSilent)
    }

    /// Returns whether neither side is closed and no migration has begun.
    fn is_open(&self) -> bool {
        self.downstream_closed.is_none()
            && self.upstream_closed.is_none()
            && self.migration_deadline.is_none()
    }

    /// Returns whether the client has received complete lines only and the endpoint has not begun another, so
    /// that a migration truncates nothing.
    fn between_lines(&self) -> bool {
        self.to_downstream.is_empty() && self.line_tracker.between_lines()
    }

    fn read_upstream(&mut self) {
        let mut bytes = BytesMut::with_capacity(BUFFER_BYTES);
        let kind = match self.streams.upstream.try_read_buf(&mut bytes) {
            Ok(0) => CloseKind::Graceful,
            Ok(_) => return self.receive_lines(bytes),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => CloseKind::from_error(&error),
        };
        self.upstream_closed = Some(SideClosed { kind, at: self.timers.clock.now() });
        self.to_downstream.finish();
    }

    /// Relays bytes from the endpoint unchanged, and reports response times and loads to the balancer.
    fn receive_lines(&mut self, bytes: BytesMut) {
        let (mut load, mut answered, mut last_line) = (None, false, self.last_line);
        self.line_tracker.observe(&bytes, |line| {
            match line {
                EndpointLine::Load(reported) => load = Some(reported),
                _ => answered = true,
            }
            last_line = line.into();
        });
        self.last_line = last_line;
        // An incomplete line or a load report does not count as a response to the client.
        if answered && let Some(since) = self.silence.endpoint_answered() {
            let latency = self.timers.clock.now().saturating_sub(since);
            self.relay.borrow_mut().message_latency_measured(self.id, latency);
        }
        if let Some(load) = load {
            self.load = Some(load);
            self.relay.borrow_mut().connection_load_reported(self.id, load);
        }
        self.relay.borrow_mut().record_bytes(Direction::ToDownstream, bytes.len());
        self.to_downstream.push(bytes);
    }

    fn downstream_reset(&mut self) {
        let closed = SideClosed { kind: CloseKind::Reset, at: self.timers.clock.now() };
        self.downstream_closed = Some(closed);
        self.to_upstream.clear();
    }

    fn read_downstream(&mut self) {
        self.to_upstream.reserve(BUFFER_BYTES);
        let now = self.timers.clock.now();
        match self.streams.downstream.try_read_buf(&mut self.to_upstream) {
            Ok(0) => self.downstream_closed = Some(SideClosed { kind: CloseKind::Graceful, at: now }),
            Ok(count) => {
                self.relay.borrow_mut().record_bytes(Direction::ToUpstream, count);
                self.silence.client_sent(now);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => {
                self.downstream_closed = Some(SideClosed { kind: CloseKind::from_error(&error), at: now });
            }
        }
    }
}
