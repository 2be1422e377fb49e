//! One study session until it stands: its head, its attempts, its one answer.

use std::rc::Rc;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tracing::debug;

use super::attempt::{Came, Sent, dial, dial_again};
use super::established::pump;
use super::graceful_close::{GRACEFUL_CLOSE_TIMEOUT, close};
use super::idle::IdleSlot;
use super::protocol::{self, FAILED, OpenRequest, ProtocolError};
use crate::relay::metrics::recorder::Answer;
use crate::relay::timer_wheel::Timers;
use crate::relay::{AttemptRequest, ConnectionCommand, DescriptorPermit, SharedRelay};
use honeyknot_balancer::*;

/// A connection that has not asked for a session after this is ended, however slowly its line drips and however
/// often it sent `PING`: it is owed an answer or a close within 3 s, of which it may have waited a part to be accepted.
/// Clients on slow links take 2 s to write their line.
const HEAD_WAIT: Micros = 2_500_000;
/// Buffers of a session, each way: more than the longest line, so that one always fits.
pub(super) const BUFFER: usize = 4096;
/// A session from before the run is tried again after this ...
const ADOPT_AGAIN: Micros = 100_000;
/// ... each try this long.
const ADOPT_TRY: Micros = 5_000_000;

/// Serves a connection that a front layer or a client has opened.
pub async fn serve(relay: SharedRelay, client: TcpStream, held: DescriptorPermit, mut place: IdleSlot) {
    let _ = client.set_nodelay(true);
    let timers = relay.borrow().timers.clone();
    let mut side = Client { stream: client, bytes: BytesMut::with_capacity(512), timers, _held: held };
    match side.first_line(&relay, &mut place).await {
        // What it may be asking in this moment is never read, so it is turned away: that promises nothing and is true. Guards against
        // a request that arrives as the connection is shut, and would be lost without an answer.
        Ok(Some(First::Rests)) => {
            place.mark_answered();
            side.farewell(protocol::REJECTED).await;
        }
        Ok(Some(First::Asks(head))) => {
            let head = *head;
            let Some(_open) = relay.borrow().reserve_connection_id(&head) else {
                place.mark_answered();
                debug!(target: "client", why = "the id of an open connection, or no known class", "turned away");
                relay.borrow_mut().record_unregistered_answer(&head, Answer::Failed);
                return side.farewell(FAILED).await;
            };
            match head.established_endpoint().map(|id| EndpointId(id.into())) {
                Some(server) => adopt(relay, side, head, server, place).await,
                None => study(relay, side, head, place).await,
            }
        }
        Ok(None) => {}
        Err(why) => {
            debug!(target: "client", %why, "turned away");
            relay.borrow_mut().record_failed("malformed");
            place.mark_answered();
            side.farewell(FAILED).await;
        }
    }
}

/// The client's side of a session.
pub(super) struct Client {
    pub(super) stream: TcpStream,
    /// What the client sent beyond its head.
    pub(super) bytes: BytesMut,
    pub(super) timers: Rc<Timers>,
    _held: DescriptorPermit,
}

impl Client {
    /// Reads lines until the head of a session; none if there is nothing to answer. Who rests after a `PONG` is let rest for a while.
    async fn first_line(
        &mut self, relay: &SharedRelay, place: &mut IdleSlot,
    ) -> Result<Option<First>, ProtocolError> {
        let timers = self.timers.clone();
        let due = timers.clock.now() + HEAD_WAIT;
        let (mut pinged, last_call) = (false, place.shutdown_notice());
        loop {
            let end = tokio::select! {
                biased;
                end = self.line(place) => end?,
                () = timers.sleep_until(due) => match pinged && self.bytes.is_empty() {
                    true => return Ok(Some(First::Rests)),
                    false => return Err(ProtocolError::FirstLineTimeout),
                },
                () = last_call.notified() => return Ok(Some(First::Rests)),
            };
            let Some(end) = end else { return Ok(None) };
            let line = self.bytes.split_to(end).freeze();
            if !self.bytes.is_empty() {
                return Err(ProtocolError::DataBeforeAnswer);
            }
            if protocol::without_line_end(&line) != protocol::PING {
                return OpenRequest::parse(line).map(|head| Some(First::Asks(Box::new(head))));
            }
            let answer = if relay.borrow().is_shutting_down() { protocol::REJECTED } else { protocol::PONG };
            if self.stream.write_all(answer).await.is_err() {
                return Ok(None);
            }
            pinged = true;
            place.mark_answered();
        }
    }

    /// Reads until a line is whole; none if the client leaves before it begins one.
    async fn line(&mut self, place: &mut IdleSlot) -> Result<Option<usize>, ProtocolError> {
        loop {
            if let Some(end) = protocol::first_line_end(&self.bytes)? {
                return Ok(Some(end));
            }
            match self.stream.read_buf(&mut self.bytes).await {
                Ok(0) if !self.bytes.is_empty() => return Err(ProtocolError::FirstLineTruncated),
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) if protocol::may_open(&self.bytes) => place.mark_receiving(),
                Ok(_) => {}
            }
        }
    }

    /// Waits until the client leaves, or has sent more than is kept for its card server.
    async fn gone(&mut self) -> Strayed {
        while self.bytes.len() < BUFFER {
            if let Strayed::Left = self.strays().await {
                return Strayed::Left;
            }
        }
        Strayed::Spoke
    }

    /// Waits until the client leaves or speaks, though it has to wait for its answer. A client that ends its sending has left:
    /// that is how the line protocol gives a request up, and a side that ends its connection ends the session.
    async fn strays(&mut self) -> Strayed {
        match self.stream.read_buf(&mut self.bytes).await {
            Ok(0) | Err(_) => Strayed::Left,
            Ok(_) => Strayed::Spoke,
        }
    }

    /// Sends a last line and ends the connection.
    async fn farewell(mut self, line: &[u8]) {
        tokio::select! {
            _ = self.stream.write_all(line) => {}
            () = self.timers.sleep(GRACEFUL_CLOSE_TIMEOUT) => {}
        }
        close(&self.timers, self.stream).await;
    }
}

/// What comes of a connection at the door.
enum First {
    /// It asks for a session.
    Asks(Box<OpenRequest>),
    /// It has said nothing for too long after a `PONG`, or the relay ends.
    Rests,
}

/// What a client did that has to wait for its answer.
enum Strayed {
    /// It left.
    Left,
    /// It sent more than its first line.
    Spoke,
}

/// The session's place at the relay, left whatever way its task ends.
pub(super) struct ConnectionGuard {
    pub(super) relay: SharedRelay,
    pub(super) id: RequestId,
    pub(super) answered: bool,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.relay.borrow_mut().connection_closed(self.id, self.answered);
    }
}

/// A time to come back in, within what clients honour. It differs from client to client, or all that are
/// refused together would come back together.
fn come_back(relay: &SharedRelay) -> u64 {
    let relay = relay.borrow();
    let most = relay.max_retry_after();
    (most / 2 + relay.timers.clock.now() % (most / 2 + 1)) / 1_000
}

async fn study(relay: SharedRelay, client: Client, head: OpenRequest, place: IdleSlot) {
    // It leaves the crowd first: the oldest there may have to make room for it.
    drop(place);
    let second = relay.borrow().acquire_descriptor().filter(|_| relay.borrow().can_admit());
    let Some(second) = second else {
        let reason = match (relay.borrow().is_shutting_down(), relay.borrow().can_admit()) {
            (true, _) => "closing",
            (false, false) => "capacity",
            (false, true) => "descriptors",
        };
        relay.borrow_mut().record_rejected(reason, None);
        relay.borrow_mut().record_unregistered_answer(&head, Answer::Busy);
        let line = protocol::encode_rejected(come_back(&relay));
        return client.farewell(&line).await;
    };
    let asked = relay.borrow_mut().request_connection(&head);
    let Some((id, orders)) = asked else { return client.farewell(FAILED).await };
    let seat = ConnectionGuard { relay: relay.clone(), id, answered: false };
    Session { relay, client, head, orders, seat, _second: second }.run().await;
}

/// A session that is not standing yet.
struct Session {
    relay: SharedRelay,
    client: Client,
    head: OpenRequest,
    orders: UnboundedReceiver<ConnectionCommand>,
    seat: ConnectionGuard,
    _second: DescriptorPermit,
}

impl Session {
    async fn run(mut self) {
        let timers = self.client.timers.clone();
        let patience = self.head.time_remaining(self.relay.borrow().max_deadline());
        // Guards against a request that the decisions forget: it still gets its one answer in time.
        let overdue = timers.sleep(patience.saturating_add(self.relay.borrow().answer_grace()));
        tokio::pin!(overdue);
        loop {
            let order = tokio::select! {
                biased;
                strayed = self.client.strays() => match strayed {
                    Strayed::Left => return,
                    Strayed::Spoke => self.forgone("spoke"),
                },
                order = self.orders.recv() => order.unwrap_or(ConnectionCommand::Fail),
                () = &mut overdue => self.forgone("late"),
            };
            match order {
                ConnectionCommand::Forward(place) => match self.attempt(&place).await {
                    Came::Up(server, first) => return self.stand(server, first).await,
                    Came::Ended(outcome, report) => {
                        self.relay.borrow_mut().attempt_ended(self.seat.id, outcome, false, report);
                    }
                    Came::Served(words) => {
                        self.relay.borrow_mut().attempt_ended(self.seat.id, Outcome::Ok, true, None);
                        return self.answer(&words, Answer::Failed).await;
                    }
                    Came::Left => return,
                    Came::Answered(order) => {
                        self.relay.borrow_mut().attempt_ended(self.seat.id, Outcome::Cancelled, true, None);
                        return self.answer_order(&order).await;
                    }
                },
                ConnectionCommand::Reject(_) | ConnectionCommand::Fail => {
                    return self.answer_order(&order).await;
                }
                // Nothing is out and nothing stands.
                ConnectionCommand::Cancel(_) | ConnectionCommand::Migrate | ConnectionCommand::Transfer => {}
            }
        }
    }

    /// The relay answers by itself; the decisions have nothing to answer any more.
    fn forgone(&self, cause: &'static str) -> ConnectionCommand {
        self.relay.borrow_mut().connection_closed(self.seat.id, false);
        self.relay.borrow_mut().record_failed(cause);
        ConnectionCommand::Fail
    }

    async fn answer_order(self, order: &ConnectionCommand) {
        let answer =
            if matches!(order, ConnectionCommand::Reject(_)) { Answer::Busy } else { Answer::Failed };
        self.answer(&final_line(order), answer).await;
    }

    async fn answer(mut self, line: &[u8], answer: Answer) {
        self.relay.borrow_mut().request_answered(self.seat.id, answer);
        self.seat.answered = true;
        drop(self.seat);
        self.client.farewell(line).await;
    }

    /// One attempt. Whatever ends it, its connection is closed before this returns, unless it stands.
    async fn attempt(&mut self, place: &AttemptRequest) -> Came {
        let timers = self.client.timers.clone();
        let sent = Sent::default();
        let due = timers.clock.now().saturating_add(place.timeout);
        let dial = dial(&self.relay, &self.head, place, due, &sent);
        tokio::pin!(dial);
        loop {
            tokio::select! {
                biased;
                // First, so that a connection that comes up as the client leaves carries nothing.
                strayed = self.client.strays() => return match strayed {
                    Strayed::Left => Came::Left,
                    Strayed::Spoke => {
                        self.relay.borrow_mut().record_failed("spoke");
                        Came::Answered(ConnectionCommand::Fail)
                    }
                },
                came = &mut dial => return came,
                () = timers.sleep_until(due) => {
                    let outcome = if sent.get() { Outcome::Timeout } else { Outcome::ConnectFailed };
                    return Came::Ended(outcome, None);
                }
                order = self.orders.recv() => match order {
                    Some(ConnectionCommand::Cancel(attempt)) if attempt == place.attempt => {
                        return Came::Ended(Outcome::Cancelled, None);
                    }
                    Some(order @ (ConnectionCommand::Reject(_) | ConnectionCommand::Fail)) => return Came::Answered(order),
                    Some(_) => {}
                    None => return Came::Answered(ConnectionCommand::Fail),
                },
            }
        }
    }

    async fn stand(self, server: TcpStream, first: BytesMut) {
        self.relay.borrow_mut().connection_established(self.seat.id);
        pump(self.relay, self.client, self.orders, self.seat, self.head, server, first).await;
    }
}

fn final_line(order: &ConnectionCommand) -> Vec<u8> {
    match order {
        // Rounded up: a client that comes back too early is turned away again.
        ConnectionCommand::Reject(after) => protocol::encode_rejected(after.div_ceil(1_000)),
        _ => FAILED.to_vec(),
    }
}

/// A session that stood at a card server before the run: it goes to that one, however late the roll names it.
async fn adopt(
    relay: SharedRelay, mut client: Client, head: OpenRequest, server: EndpointId, place: IdleSlot,
) {
    drop(place);
    let Some(_second) = relay.borrow().acquire_descriptor() else {
        relay.borrow_mut().record_rejected("descriptors", None);
        relay.borrow_mut().record_unregistered_answer(&head, Answer::Busy);
        let line = protocol::encode_rejected(come_back(&relay));
        return client.farewell(&line).await;
    };
    let (timers, due) = (client.timers.clone(), relay.borrow().adoption_deadline());
    let up = tokio::select! {
        biased;
        // First, so that nothing is sent on for a client that has gone.
        strayed = client.gone() => match strayed {
            Strayed::Left => return relay.borrow_mut().record_unregistered_answer(&head, Answer::Failed),
            Strayed::Spoke => None,
        },
        up = find_again(&relay, &head, &server) => Some(up),
        () = timers.sleep_until(due) => None,
    };
    let Some((stream, first)) = up else {
        relay.borrow_mut().record_unregistered_answer(&head, Answer::Failed);
        return client.farewell(FAILED).await;
    };
    let adopted = relay.borrow_mut().adopt_connection(&head, server);
    let Some((id, orders)) = adopted else { return client.farewell(FAILED).await };
    let seat = ConnectionGuard { relay: relay.clone(), id, answered: false };
    pump(relay, client, orders, seat, head, stream, first).await;
}

/// Dials the card server of a session from before the run until it is up there.
async fn find_again(relay: &SharedRelay, head: &OpenRequest, server: &EndpointId) -> (TcpStream, BytesMut) {
    let timers = relay.borrow().timers.clone();
    loop {
        // What is out by hand gets nothing, not even a session that stood there.
        let address =
            relay.borrow().endpoint_address(server).filter(|_| !relay.borrow().in_maintenance(server));
        if let Some(address) = address {
            let came = tokio::select! {
                came = dial_again(relay, head, server, address) => came,
                () = timers.sleep(ADOPT_TRY) => None,
            };
            if let Some(up) = came {
                return up;
            }
        }
        timers.sleep(ADOPT_AGAIN).await;
    }
}
