//! One study session: its head, its attempts, the lines that pass, and its end.

use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tracing::debug;

use super::crowd::Place;
use super::farewell::{FAREWELL, end};
use super::lines::{self, FAILED, LineWatch, MOVE, Malformed, SessionHead, Word, report_value};
use crate::interface::*;
use crate::relay::counts::meter::Answer;
use crate::relay::wheel::Timers;
use crate::relay::{Held, Order, Placement, Shared};

/// A connection that has not asked for a session after this is ended, however slowly its line drips and however
/// often it sent `PING`: it is owed an answer or a close within 3 s, of which it may have waited a part to be accepted.
/// Clients on slow links take 2 s to write their line.
const HEAD_WAIT: Micros = 2_500_000;
/// Buffers of a session, each way: more than the longest line, so that one always fits.
const BUFFER: usize = 4096;
/// A client's line without a whole line back for this long: the card server is silent there and the client is moved.
/// Clients send a line every 2 s, so the last answer may be older by as much, and 7 s is all that it may be.
const SILENCE: Micros = 4_200_000;
/// How often a standing session looks after itself.
const LOOK: Micros = 250_000;
/// A card server that has ended a session, or a move that waits for the end of a line, holds it no longer.
const HURRY: Micros = 600_000;
/// A session from before the run is tried again after this ...
const ADOPT_AGAIN: Micros = 100_000;
/// ... each try this long.
const ADOPT_TRY: Micros = 5_000_000;

/// Serves a connection that a front layer or a client has opened.
pub async fn serve(relay: Shared, client: TcpStream, held: Held, mut place: Place) {
    let _ = client.set_nodelay(true);
    let timers = relay.borrow().timers.clone();
    let mut side = Client { stream: client, bytes: BytesMut::with_capacity(512), timers, _held: held };
    match side.first_line(&relay, &mut place).await {
        Ok(Some(head)) => {
            let Some(_open) = relay.borrow().open_id(&head) else {
                place.answered();
                debug!(target: "client", why = "the id of an open connection, or no known class", "turned away");
                relay.borrow_mut().meter_head(&head, Answer::Failed);
                return side.farewell(FAILED).await;
            };
            match head.holder().map(|id| ServerId(id.into())) {
                Some(server) => adopt(relay, side, head, server, place).await,
                None => study(relay, side, head, place).await,
            }
        }
        Ok(None) => {}
        Err(Malformed(why)) => {
            debug!(target: "client", why, "turned away");
            relay.borrow_mut().meter_failed("malformed");
            place.answered();
            side.farewell(FAILED).await;
        }
    }
}

/// The client's side of a session.
struct Client {
    stream: TcpStream,
    /// What the client sent beyond its head.
    bytes: BytesMut,
    timers: Rc<Timers>,
    _held: Held,
}

impl Client {
    /// Reads lines until the head of a session; none if there is nothing to answer.
    async fn first_line(
        &mut self, relay: &Shared, place: &mut Place,
    ) -> Result<Option<SessionHead>, Malformed> {
        let timers = self.timers.clone();
        let due = timers.clock.now() + HEAD_WAIT;
        let mut pinged = false;
        loop {
            let end = tokio::select! {
                end = self.line(place) => end?,
                () = timers.until(due) => match pinged && self.bytes.is_empty() {
                    true => None,
                    false => return Err(Malformed("a first line is not whole in time")),
                },
            };
            let Some(end) = end else { return Ok(None) };
            let line = self.bytes.split_to(end).freeze();
            if !self.bytes.is_empty() {
                return Err(Malformed("more than a first line before any answer"));
            }
            if lines::bare(&line) != b"PING" {
                return SessionHead::parse(line).map(Some);
            }
            let answer: &[u8] = if relay.borrow().closing() { b"BUSY\r\n" } else { b"PONG\r\n" };
            if self.stream.write_all(answer).await.is_err() {
                return Ok(None);
            }
            pinged = true;
            place.answered();
        }
    }

    /// Reads until a line is whole; none if the client leaves before it begins one.
    async fn line(&mut self, place: &mut Place) -> Result<Option<usize>, Malformed> {
        loop {
            if let Some(end) = lines::first_line(&self.bytes)? {
                return Ok(Some(end));
            }
            match self.stream.read_buf(&mut self.bytes).await {
                Ok(0) if !self.bytes.is_empty() => return Err(Malformed("a first line is cut short")),
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) if lines::may_open(&self.bytes) => place.speaks(),
                Ok(_) => {}
            }
        }
    }

    /// Waits until the client leaves. What it sends meanwhile is kept, up to a buffer.
    async fn gone(&mut self) {
        while self.bytes.len() < BUFFER {
            match self.stream.read_buf(&mut self.bytes).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    /// Waits until the client leaves or speaks, though it has to wait for its answer.
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
            () = self.timers.nap(FAREWELL) => {}
        }
        end(&self.timers, self.stream).await;
    }
}

/// What a client did that has to wait for its answer.
enum Strayed {
    /// It left.
    Left,
    /// It sent more than its first line.
    Spoke,
}

/// Ends a connection as its other side ended: with a reset, or in order.
async fn mirror(timers: &Rc<Timers>, stream: TcpStream, reset: bool) {
    if reset {
        // Dropped now, it is reset.
        let _ = stream.set_zero_linger();
    } else {
        end(timers, stream).await;
    }
}

/// The session's place at the relay, left whatever way its task ends.
struct SeatGuard {
    relay: Shared,
    id: RequestId,
    answered: bool,
}

impl Drop for SeatGuard {
    fn drop(&mut self) {
        self.relay.borrow_mut().left(self.id, self.answered);
    }
}

/// A time to come back in, within what clients honour. It differs from client to client, or all that are
/// refused together would come back together.
fn come_back(relay: &Shared) -> u64 {
    let relay = relay.borrow();
    let most = relay.longest_away();
    (most / 2 + relay.timers.clock.now() % (most / 2 + 1)) / 1_000
}

async fn study(relay: Shared, client: Client, head: SessionHead, place: Place) {
    // It leaves the crowd first: the oldest there may have to make room for it.
    drop(place);
    let second = relay.borrow().hold_descriptor().filter(|_| relay.borrow().may_let_in());
    let Some(second) = second else {
        let reason = match (relay.borrow().closing(), relay.borrow().may_let_in()) {
            (true, _) => "closing",
            (false, false) => "capacity",
            (false, true) => "descriptors",
        };
        relay.borrow_mut().meter_refused(reason, None);
        relay.borrow_mut().meter_head(&head, Answer::Busy);
        let line = lines::busy(come_back(&relay));
        return client.farewell(&line).await;
    };
    let asked = relay.borrow_mut().ask(&head);
    let Some((id, orders)) = asked else { return client.farewell(FAILED).await };
    let seat = SeatGuard { relay: relay.clone(), id, answered: false };
    Session { relay, client, head, orders, seat, _second: second }.run().await;
}

/// How an attempt went.
enum Came {
    /// The card server took the session; what it has sent so far begins with its `UP`.
    Up(TcpStream, BytesMut),
    /// It ended without a session.
    Ended(Outcome, Option<LoadReport>),
    /// The card server served it to its end at once; these are its words.
    Served(BytesMut),
    /// The client left.
    Left,
    /// The decisions answered while it was out.
    Answered(Order),
}

/// A session that is not standing yet.
struct Session {
    relay: Shared,
    client: Client,
    head: SessionHead,
    orders: UnboundedReceiver<Order>,
    seat: SeatGuard,
    _second: Held,
}

impl Session {
    async fn run(mut self) {
        let timers = self.client.timers.clone();
        let patience = self.head.patience(self.relay.borrow().longest_deadline());
        // Guards against a request that the decisions forget: it still gets its one answer in time.
        let overdue = timers.nap(patience.saturating_add(self.relay.borrow().answer_grace()));
        tokio::pin!(overdue);
        loop {
            let order = tokio::select! {
                biased;
                order = self.orders.recv() => order.unwrap_or(Order::Fail),
                strayed = self.client.strays() => match strayed {
                    Strayed::Left => return,
                    Strayed::Spoke => self.forgone("spoke"),
                },
                () = &mut overdue => self.forgone("late"),
            };
            match order {
                Order::Place(place) => match self.attempt(&place).await {
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
                Order::Refuse(_) | Order::Fail => return self.answer_order(&order).await,
                // Nothing is out and nothing stands.
                Order::Cancel(_) | Order::Move | Order::PassOn => {}
            }
        }
    }

    /// The relay answers by itself; the decisions have nothing to answer any more.
    fn forgone(&self, cause: &'static str) -> Order {
        self.relay.borrow_mut().left(self.seat.id, false);
        self.relay.borrow_mut().meter_failed(cause);
        Order::Fail
    }

    async fn answer_order(self, order: &Order) {
        let answer = if matches!(order, Order::Refuse(_)) { Answer::Busy } else { Answer::Failed };
        self.answer(&final_line(order), answer).await;
    }

    async fn answer(mut self, line: &[u8], answer: Answer) {
        self.relay.borrow_mut().answered(self.seat.id, answer);
        self.seat.answered = true;
        drop(self.seat);
        self.client.farewell(line).await;
    }

    /// One attempt. Whatever ends it, its connection is closed before this returns, unless it stands.
    async fn attempt(&mut self, place: &Placement) -> Came {
        let timers = self.client.timers.clone();
        let sent = Sent::default();
        let due = timers.clock.now().saturating_add(place.timeout);
        let dial = dial(&self.relay, &self.head, place, due, &sent);
        tokio::pin!(dial);
        loop {
            tokio::select! {
                biased;
                came = &mut dial => return came,
                () = timers.until(due) => {
                    let outcome = if sent.get() { Outcome::Timeout } else { Outcome::ConnectFailed };
                    return Came::Ended(outcome, None);
                }
                order = self.orders.recv() => match order {
                    Some(Order::Cancel(attempt)) if attempt == place.attempt => {
                        return Came::Ended(Outcome::Cancelled, None);
                    }
                    Some(order @ (Order::Refuse(_) | Order::Fail)) => return Came::Answered(order),
                    Some(_) => {}
                    None => return Came::Answered(Order::Fail),
                },
                strayed = self.client.strays() => return match strayed {
                    Strayed::Left => Came::Left,
                    Strayed::Spoke => {
                        self.relay.borrow_mut().meter_failed("spoke");
                        Came::Answered(Order::Fail)
                    }
                },
            }
        }
    }

    async fn stand(self, server: TcpStream, first: BytesMut) {
        self.relay.borrow_mut().stands(self.seat.id);
        pump(self.relay, self.client, self.orders, self.seat, self.head, server, first).await;
    }
}

/// Whether the last byte of the head was written: up to then the card server cannot have run it.
type Sent = std::cell::Cell<bool>;

fn final_line(order: &Order) -> Vec<u8> {
    match order {
        // Rounded up: a client that comes back too early is turned away again.
        Order::Refuse(after) => lines::busy(after.div_ceil(1_000)),
        _ => FAILED.to_vec(),
    }
}

/// Connects, sends the head and reads the card server's first line.
async fn dial(relay: &Shared, head: &SessionHead, place: &Placement, due: Micros, sent: &Sent) -> Came {
    let timers = relay.borrow().timers.clone();
    let wait = relay.borrow().connect_timeout();
    let dialled = tokio::select! {
        dialled = TcpStream::connect(place.address) => dialled.ok(),
        () = timers.nap(wait) => None,
    };
    let Some(mut server) = dialled.filter(|_| relay.borrow().may_still_send(&place.server)) else {
        return Came::Ended(Outcome::ConnectFailed, None);
    };
    let _ = server.set_nodelay(true);
    let left = due.saturating_sub(timers.clock.now()) / 1_000;
    if write_head(&mut server, head, left.max(1)).await.is_err() {
        return Came::Ended(Outcome::ConnectFailed, None);
    }
    sent.set(true);
    relay.borrow_mut().meter_sent(head);
    read_answer(relay, server).await
}

/// Writes the head with another wait, gathered from its pieces.
async fn write_head(server: &mut TcpStream, head: &SessionHead, wait_ms: u64) -> io::Result<()> {
    let digits = wait_ms.to_string();
    let mut pieces = head.with_patience(digits.as_bytes());
    let mut pieces = &mut pieces[..];
    while pieces.iter().any(|p| !p.is_empty()) {
        let written = server.write_vectored(pieces).await?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        io::IoSlice::advance_slices(&mut pieces, written);
    }
    Ok(())
}

async fn read_answer(relay: &Shared, mut server: TcpStream) -> Came {
    let mut bytes = BytesMut::with_capacity(512);
    let end = loop {
        match lines::first_line(&bytes) {
            Ok(Some(end)) => break end,
            Ok(None) => {}
            Err(_) => return Came::Ended(Outcome::Error, None),
        }
        match server.read_buf(&mut bytes).await {
            Ok(0) | Err(_) => return Came::Ended(Outcome::Reset, None),
            Ok(_) => {}
        }
    };
    let report = |text: &str| {
        let relay = relay.borrow();
        (!text.is_empty()).then(|| relay.names.load_report(|name| report_value(text, name)))
    };
    match Word::read(&bytes[..end]) {
        Word::Up => Came::Up(server, bytes),
        Word::Bye(_) => Came::Served(bytes),
        Word::Move => Came::Ended(Outcome::Cancelled, None),
        Word::Busy(text) => Came::Ended(Outcome::Full, report(text)),
        Word::Err(text) => Came::Ended(Outcome::Error, report(text)),
        _ => Came::Ended(Outcome::Error, None),
    }
}

/// A session that stood at a card server before the run: it goes to that one, however late the roll names it.
async fn adopt(relay: Shared, mut client: Client, head: SessionHead, server: ServerId, place: Place) {
    drop(place);
    let Some(_second) = relay.borrow().hold_descriptor() else {
        relay.borrow_mut().meter_refused("descriptors", None);
        relay.borrow_mut().meter_head(&head, Answer::Busy);
        let line = lines::busy(come_back(&relay));
        return client.farewell(&line).await;
    };
    let (timers, due) = (client.timers.clone(), relay.borrow().adopts_until());
    let up = tokio::select! {
        up = find_again(&relay, &head, &server) => Some(up),
        () = client.gone() => return relay.borrow_mut().meter_head(&head, Answer::Failed),
        () = timers.until(due) => None,
    };
    let Some((stream, first)) = up else {
        relay.borrow_mut().meter_head(&head, Answer::Failed);
        return client.farewell(FAILED).await;
    };
    let adopted = relay.borrow_mut().adopt(&head, server);
    let Some((id, orders)) = adopted else { return client.farewell(FAILED).await };
    let seat = SeatGuard { relay: relay.clone(), id, answered: false };
    pump(relay, client, orders, seat, head, stream, first).await;
}

/// Dials the card server of a session from before the run until it is up there.
async fn find_again(relay: &Shared, head: &SessionHead, server: &ServerId) -> (TcpStream, BytesMut) {
    let timers = relay.borrow().timers.clone();
    loop {
        // What is out by hand gets nothing, not even a session that stood there.
        let address = relay.borrow().address(server).filter(|_| !relay.borrow().withholds(server));
        if let Some(address) = address {
            let came = tokio::select! {
                came = dial_again(relay, head, address) => came,
                () = timers.nap(ADOPT_TRY) => None,
            };
            if let Some(up) = came {
                return up;
            }
        }
        timers.nap(ADOPT_AGAIN).await;
    }
}

async fn dial_again(
    relay: &Shared, head: &SessionHead, address: std::net::SocketAddr,
) -> Option<(TcpStream, BytesMut)> {
    let mut server = TcpStream::connect(address).await.ok()?;
    let _ = server.set_nodelay(true);
    server.write_all(head.as_sent()).await.ok()?;
    relay.borrow_mut().meter_sent(head);
    match read_answer(relay, server).await {
        Came::Up(server, bytes) => Some((server, bytes)),
        _ => None,
    }
}

/// Moves a client politely, if `MOVE` fits between what was sent to it, and ends both sides.
async fn send_away(timers: &Rc<Timers>, client: TcpStream, server: TcpStream, fits: bool) {
    if fits {
        // Nothing else waits to be sent, so there is room for it.
        let _ = client.try_write(MOVE);
    }
    tokio::join!(end(timers, client), end(timers, server));
}

/// All that a session that stands is, but its sockets, in the form in which it is passed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    /// The client's first line.
    head: Vec<u8>,
    /// Its card server.
    server: String,
    /// Bytes that wait to be sent.
    to_client: Vec<u8>,
    to_server: Vec<u8>,
    watch: LineWatch,
    last: Last,
    /// Since when lines of the client wait for anything to come back, in Unix microseconds.
    unanswered: Option<Micros>,
    load: Option<f64>,
}

/// A session on its way to another process of this relay.
#[derive(Debug)]
pub struct Passed {
    /// What it is.
    pub bundle: Bundle,
    /// Its client.
    pub client: TcpStream,
    /// Its card server.
    pub server: TcpStream,
}

impl Passed {
    /// Moves the client, as there is nobody to pass it on to.
    pub fn send_away(self, timers: &Rc<Timers>) {
        let Passed { bundle, client, server } = self;
        let fits = bundle.to_client.is_empty() && bundle.watch.between_lines();
        let timers = timers.clone();
        tokio::task::spawn_local(async move { send_away(&timers, client, server, fits).await });
    }
}

/// Goes on with a session that another process of this relay has passed on. One that cannot be held here is moved.
pub fn take_up(relay: &Shared, bundle: Bundle, client: OwnedFd, server: OwnedFd) -> io::Result<()> {
    let stream = |socket: OwnedFd| TcpStream::from_std(std::net::TcpStream::from(socket));
    let (client, server) = (stream(client)?, stream(server)?);
    let timers = relay.borrow().timers.clone();
    let head = SessionHead::parse(Bytes::copy_from_slice(&bundle.head));
    let (first, second) = (relay.borrow().hold_descriptor(), relay.borrow().hold_descriptor());
    let (Ok(head), Some(first), Some(second)) = (head, first, second) else {
        Passed { bundle, client, server }.send_away(&timers);
        return Err(io::Error::other("no descriptors to spare, or no sound head"));
    };
    let open = relay.borrow().open_id(&head);
    let taken = relay.borrow_mut().take_up(&head, ServerId(bundle.server.as_str().into()));
    let (Some(open), Some((id, mut orders))) = (open, taken) else {
        Passed { bundle, client, server }.send_away(&timers);
        return Err(io::Error::other("its id is open here, or its class is not known"));
    };
    if let Some(load) = bundle.load {
        relay.borrow_mut().load_told(id, load);
    }
    let seat = SeatGuard { relay: relay.clone(), id, answered: false };
    let pump = Pump {
        relay: relay.clone(),
        id,
        head,
        client,
        server,
        to_client: BytesMut::from(&bundle.to_client[..]),
        to_server: BytesMut::from(&bundle.to_server[..]),
        watch: bundle.watch,
        last: bundle.last,
        server_end: None,
        client_end: None,
        move_from: None,
        passing: false,
        unanswered: bundle.unanswered,
        load: bundle.load,
        timers,
    };
    tokio::task::spawn_local(async move {
        let _held = (first, second, open);
        pump.serve(&mut orders, seat).await;
    });
    Ok(())
}

/// How a standing session ends.
enum Ending {
    /// The card server ended it, perhaps with a reset.
    Server { reset: bool },
    /// The client ended it, perhaps with a reset.
    Client { reset: bool },
    /// The decisions, or the relay's own end, move the client.
    Moved,
    /// The card server says nothing more.
    Silent,
    /// Another process of this relay goes on with it.
    Passed,
}

/// What the last whole line of the card server was.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum Last {
    Bye,
    Move,
    Err,
    Other,
}

/// Both sides of a standing session and what is on its way between them.
struct Pump {
    relay: Shared,
    id: RequestId,
    head: SessionHead,
    client: TcpStream,
    server: TcpStream,
    to_client: BytesMut,
    to_server: BytesMut,
    watch: LineWatch,
    last: Last,
    /// The card server's end, and when it came.
    server_end: Option<(bool, Micros)>,
    client_end: Option<(bool, Micros)>,
    move_from: Option<Micros>,
    /// Another process of this relay is to go on with it.
    passing: bool,
    /// Its load as last told.
    load: Option<f64>,
    /// Since when lines of the client wait for anything to come back.
    unanswered: Option<Micros>,
    timers: Rc<Timers>,
}

async fn pump(
    relay: Shared, client: Client, mut orders: UnboundedReceiver<Order>, seat: SeatGuard, head: SessionHead,
    server: TcpStream, first: BytesMut,
) {
    let timers = client.timers.clone();
    let mut pump = Pump {
        relay,
        id: seat.id,
        head,
        client: client.stream,
        server,
        to_client: BytesMut::new(),
        to_server: client.bytes,
        watch: LineWatch::default(),
        last: Last::Other,
        server_end: None,
        client_end: None,
        move_from: None,
        passing: false,
        load: None,
        unanswered: None,
        timers,
    };
    pump.take_lines(first);
    pump.serve(&mut orders, seat).await;
}

impl Pump {
    /// Passes lines until the session ends, and settles it.
    async fn serve(mut self, orders: &mut UnboundedReceiver<Order>, mut seat: SeatGuard) {
        let ending = self.run(orders).await;
        let outcome = match (&ending, self.last) {
            (Ending::Client { .. } | Ending::Moved | Ending::Passed, _) => Outcome::Cancelled,
            (Ending::Silent, _) => Outcome::Reset,
            (Ending::Server { .. }, Last::Bye) => Outcome::Ok,
            (Ending::Server { .. }, Last::Move) => Outcome::Cancelled,
            (Ending::Server { .. }, Last::Err) => Outcome::Error,
            (Ending::Server { .. }, Last::Other) => Outcome::Reset,
        };
        let how = match (&ending, self.last) {
            (Ending::Client { .. }, _) => "client",
            (Ending::Moved | Ending::Silent, _) => "moved",
            (Ending::Passed, _) => "passed",
            (Ending::Server { .. }, Last::Bye) => "served",
            (Ending::Server { reset: true }, _) => "reset",
            (Ending::Server { reset: false }, _) => "server",
        };
        let server = self.relay.borrow().server_of(seat.id);
        self.relay.borrow_mut().meter_ended(how);
        if matches!(ending, Ending::Silent) {
            self.relay.borrow_mut().meter_moved_silent();
        }
        self.relay.borrow_mut().attempt_ended(seat.id, outcome, true, None);
        seat.answered = true;
        drop(seat);
        match (ending, server) {
            (Ending::Passed, Some(server)) => self.pass_on(&server),
            (ending, _) => self.close(ending).await,
        }
    }

    /// Has another process of this relay go on with it, or moves the client if there is none any more.
    fn pass_on(self, server: &ServerId) {
        let bundle = Bundle {
            head: self.head.as_sent().to_vec(),
            server: server.0.as_ref().to_owned(),
            to_client: self.to_client.to_vec(),
            to_server: self.to_server.to_vec(),
            watch: self.watch,
            last: self.last,
            unanswered: self.unanswered,
            load: self.load,
        };
        let passed = Passed { bundle, client: self.client, server: self.server };
        if let Err(passed) = self.relay.borrow_mut().pass_on(passed) {
            passed.send_away(&self.timers);
        }
    }

    async fn run(&mut self, orders: &mut UnboundedReceiver<Order>) -> Ending {
        let look = self.timers.nap(LOOK);
        tokio::pin!(look);
        loop {
            self.push();
            if let Some(ending) = self.ended() {
                return ending;
            }
            tokio::select! {
                biased;
                order = orders.recv(), if self.move_from.is_none() => {
                    // Once a session stands, only a move can be wanted of it, or that another process goes on with it.
                    match order {
                        Some(Order::Move) | None => self.move_from = Some(self.timers.clock.now()),
                        Some(Order::PassOn) => self.passing = true,
                        Some(_) => {}
                    }
                }
                ready = self.server.readable(), if self.server_end.is_none() && self.to_client.is_empty() => {
                    if ready.is_ok() {
                        self.read_server();
                    }
                }
                ready = self.client.readable(), if self.client_end.is_none() && self.to_server.is_empty() => {
                    if ready.is_ok() {
                        self.read_client();
                    }
                }
                _ = self.client.writable(), if !self.to_client.is_empty() => {}
                _ = self.server.writable(), if !self.to_server.is_empty() => {}
                () = &mut look => look.set(self.timers.nap(LOOK)),
            }
        }
    }

    /// Writes what waits, as far as it goes.
    fn push(&mut self) {
        let now = self.timers.clock.now();
        if let Err(e) = write_some(&self.client, &mut self.to_client) {
            self.client_end.get_or_insert((is_reset(&e), now));
            self.to_client.clear();
        }
        // Reading tells how the card server ended. Guards against losing its last lines, which may lie unread
        // when a write finds its side closed.
        if write_some(&self.server, &mut self.to_server).is_err() {
            self.to_server.clear();
        }
    }

    fn ended(&self) -> Option<Ending> {
        let now = self.timers.clock.now();
        let late = |since: Micros| now >= since + HURRY;
        if let Some((reset, since)) = self.client_end
            && (self.to_server.is_empty() || late(since))
        {
            return Some(Ending::Client { reset });
        }
        if let Some((reset, since)) = self.server_end
            && (self.to_client.is_empty() || late(since))
        {
            return Some(Ending::Server { reset });
        }
        if let Some(since) = self.move_from
            && (self.between_lines() || late(since))
        {
            return Some(Ending::Moved);
        }
        if self.passing && self.client_end.is_none() && self.server_end.is_none() && self.move_from.is_none()
        {
            return Some(Ending::Passed);
        }
        // While the client itself does not read, the card server is not read and not to blame.
        let silent = self.unanswered.is_some_and(|since| now >= since + SILENCE);
        (silent && self.to_client.is_empty()).then_some(Ending::Silent)
    }

    fn between_lines(&self) -> bool {
        self.to_client.is_empty() && self.watch.between_lines()
    }

    fn read_server(&mut self) {
        let mut bytes = BytesMut::with_capacity(BUFFER);
        match self.server.try_read_buf(&mut bytes) {
            Ok(0) => self.server_end = Some((false, self.timers.clock.now())),
            Ok(_) => self.take_lines(bytes),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => self.server_end = Some((is_reset(&e), self.timers.clock.now())),
        }
    }

    /// Lines of the card server: passed on as they are, its load told to the decisions.
    fn take_lines(&mut self, bytes: BytesMut) {
        let (mut load, mut answered, mut last) = (None, false, self.last);
        self.watch.pass(&bytes, |word| {
            answered |= !matches!(word, Word::Load(_));
            last = match word {
                Word::Bye(_) => Last::Bye,
                Word::Move => Last::Move,
                Word::Err(_) => Last::Err,
                Word::Load(now) => {
                    load = Some(now);
                    Last::Other
                }
                _ => Last::Other,
            };
        });
        self.last = last;
        // Guards against taking the beginning of a line that stops short, or news of the load, for an answer.
        if let Some(since) = self.unanswered.take_if(|_| answered) {
            let took = self.timers.clock.now().saturating_sub(since);
            self.relay.borrow_mut().message_took(self.id, took);
        }
        if let Some(load) = load {
            self.load = Some(load);
            self.relay.borrow_mut().load_told(self.id, load);
        }
        self.relay.borrow_mut().meter_bytes(true, bytes.len());
        self.to_client.unsplit(bytes);
    }

    fn read_client(&mut self) {
        self.to_server.reserve(BUFFER);
        let now = self.timers.clock.now();
        match self.client.try_read_buf(&mut self.to_server) {
            Ok(0) => self.client_end = Some((false, now)),
            Ok(count) => {
                self.relay.borrow_mut().meter_bytes(false, count);
                self.unanswered.get_or_insert(now);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => self.client_end = Some((is_reset(&e), now)),
        }
    }

    /// Ends what is left of the session: the other side in the same way, or both after a `MOVE`.
    async fn close(self, ending: Ending) {
        let Pump { client, server, timers, watch, to_client, .. } = self;
        match ending {
            Ending::Server { reset } => mirror(&timers, client, reset).await,
            Ending::Client { reset } => mirror(&timers, server, reset).await,
            Ending::Moved | Ending::Silent | Ending::Passed => {
                let fits = to_client.is_empty() && watch.between_lines();
                send_away(&timers, client, server, fits).await;
            }
        }
    }
}

fn is_reset(e: &io::Error) -> bool {
    !matches!(e.kind(), io::ErrorKind::BrokenPipe | io::ErrorKind::NotConnected)
}

/// Writes as much as the socket takes now.
fn write_some(stream: &TcpStream, bytes: &mut BytesMut) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(n) => bytes.advance(n),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
