//! A session that stands: the lines that pass both ways, its end, and how another process of this relay goes on with it.

use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;

use super::graceful_close::close;
use super::handshake::{BUFFER, Client, ConnectionGuard};
use super::protocol::{EndpointLine, LastLine, LineTracker, MIGRATE, OpenRequest, complete_lines_len};
use crate::relay::timer_wheel::Timers;
use crate::relay::{ConnectionCommand, SharedRelay};
use honeyknot_balancer::*;

/// A client's line without a whole line back for this long: the card server is silent there and the client is moved.
/// Clients send a line every 2 s, so the last answer may be older by as much, and 7 s is all that it may be.
const SILENCE: Micros = 4_200_000;
/// How often a standing session looks after itself.
const LOOK: Micros = 250_000;
/// A card server that has ended a session, or a move that waits for the end of a line, holds it no longer.
const HURRY: Micros = 600_000;

/// Ends a connection as its other side ended: with a reset, or in order.
async fn mirror(timers: &Rc<Timers>, stream: TcpStream, reset: bool) {
    if reset {
        // Dropped now, it is reset.
        let _ = stream.set_zero_linger();
    } else {
        close(timers, stream).await;
    }
}

/// Moves a client politely, if `MOVE` fits between what was sent to it, and ends both sides.
async fn send_away(timers: &Rc<Timers>, client: TcpStream, server: TcpStream, fits: bool) {
    if fits {
        // Nothing else waits to be sent, so there is room for it.
        let _ = client.try_write(MIGRATE);
    }
    tokio::join!(close(timers, client), close(timers, server));
}

/// All that a session that stands is, but its sockets, in the form in which it is passed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConnectionSnapshot {
    /// The client's first line.
    head: Vec<u8>,
    /// Its card server.
    server: String,
    /// Bytes that wait to be sent.
    to_client: Vec<u8>,
    to_server: Vec<u8>,
    watch: LineTracker,
    last: LastLine,
    /// Since when lines of the client wait for anything to come back, in Unix microseconds.
    unanswered: Option<Micros>,
    load: Option<f64>,
}

/// A session on its way to another process of this relay.
#[derive(Debug)]
pub struct ConnectionTransfer {
    /// What it is.
    pub snapshot: ConnectionSnapshot,
    /// Its client.
    pub downstream: TcpStream,
    /// Its card server.
    pub upstream: TcpStream,
}

impl ConnectionTransfer {
    /// Moves the client, as there is nobody to pass it on to.
    pub fn migrate(self, timers: &Rc<Timers>) {
        let ConnectionTransfer { snapshot, downstream: client, upstream: server } = self;
        // What waits is no more than the beginning of a line, or nothing and the client has whole lines.
        let fits = complete_lines_len(&snapshot.to_client) == 0
            && (!snapshot.to_client.is_empty() || snapshot.watch.between_lines());
        let timers = timers.clone();
        tokio::task::spawn_local(async move { send_away(&timers, client, server, fits).await });
    }
}

/// Goes on with a session that another process of this relay has passed on. One that cannot be held here is moved.
pub fn restore_connection(
    relay: &SharedRelay, snapshot: ConnectionSnapshot, client: OwnedFd, server: OwnedFd,
) -> io::Result<()> {
    let stream = |socket: OwnedFd| TcpStream::from_std(std::net::TcpStream::from(socket));
    let (client, server) = (stream(client)?, stream(server)?);
    let timers = relay.borrow().timers.clone();
    let head = OpenRequest::parse(Bytes::copy_from_slice(&snapshot.head));
    let (first, second) = (relay.borrow().acquire_descriptor(), relay.borrow().acquire_descriptor());
    let (Ok(head), Some(first), Some(second)) = (head, first, second) else {
        ConnectionTransfer { snapshot, downstream: client, upstream: server }.migrate(&timers);
        return Err(io::Error::other("no descriptors to spare, or no sound head"));
    };
    let open = relay.borrow().reserve_connection_id(&head);
    let taken = relay.borrow_mut().restore_connection(&head, EndpointId(snapshot.server.as_str().into()));
    let (Some(open), Some((id, mut orders))) = (open, taken) else {
        ConnectionTransfer { snapshot, downstream: client, upstream: server }.migrate(&timers);
        return Err(io::Error::other("its id is open here, or its class is not known"));
    };
    if let Some(load) = snapshot.load {
        relay.borrow_mut().connection_load_reported(id, load);
    }
    let seat = ConnectionGuard { relay: relay.clone(), id, answered: false };
    let (whole, half) = snapshot.to_client.split_at(complete_lines_len(&snapshot.to_client));
    let pump = Pump {
        relay: relay.clone(),
        id,
        head,
        client,
        server,
        to_client: BytesMut::from(whole),
        half: BytesMut::from(half),
        cut: half.is_empty() && !snapshot.watch.between_lines(),
        to_server: BytesMut::from(&snapshot.to_server[..]),
        watch: snapshot.watch,
        last: snapshot.last,
        server_end: None,
        client_end: None,
        move_from: None,
        passing: false,
        unanswered: snapshot.unanswered,
        load: snapshot.load,
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
    ConnectionTransfer,
}

/// Both sides of a standing session and what is on its way between them.
struct Pump {
    relay: SharedRelay,
    id: RequestId,
    head: OpenRequest,
    client: TcpStream,
    server: TcpStream,
    to_client: BytesMut,
    /// The beginning of a line of the card server: it goes on once the line is whole, so that a `MOVE` always fits.
    half: BytesMut,
    /// The client has the beginning of a line that is longer than any may be.
    cut: bool,
    to_server: BytesMut,
    watch: LineTracker,
    last: LastLine,
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

pub(super) async fn pump(
    relay: SharedRelay, client: Client, mut orders: UnboundedReceiver<ConnectionCommand>,
    seat: ConnectionGuard, head: OpenRequest, server: TcpStream, first: BytesMut,
) {
    let timers = client.timers.clone();
    let mut pump = Pump {
        relay,
        id: seat.id,
        head,
        client: client.stream,
        server,
        to_client: BytesMut::new(),
        half: BytesMut::new(),
        cut: false,
        to_server: client.bytes,
        watch: LineTracker::default(),
        last: LastLine::Other,
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
    async fn serve(mut self, orders: &mut UnboundedReceiver<ConnectionCommand>, mut seat: ConnectionGuard) {
        let ending = self.run(orders).await;
        let outcome = match (&ending, self.last) {
            (Ending::Client { .. } | Ending::Moved | Ending::ConnectionTransfer, _) => Outcome::Cancelled,
            (Ending::Silent, _) => Outcome::Reset,
            (Ending::Server { .. }, LastLine::Completed) => Outcome::Ok,
            (Ending::Server { .. }, LastLine::Migrate) => Outcome::Cancelled,
            (Ending::Server { .. }, LastLine::Failed) => Outcome::Error,
            (Ending::Server { .. }, LastLine::Other) => Outcome::Reset,
        };
        let how = match (&ending, self.last) {
            (Ending::Client { .. }, _) => "client",
            (Ending::Moved | Ending::Silent, _) => "moved",
            (Ending::ConnectionTransfer, _) => "passed",
            (Ending::Server { .. }, LastLine::Completed) => "served",
            (Ending::Server { reset: true }, _) => "reset",
            (Ending::Server { reset: false }, _) => "server",
        };
        let server = self.relay.borrow().endpoint_of(seat.id);
        self.relay.borrow_mut().record_connection_ended(how);
        if matches!(ending, Ending::Silent) {
            self.relay.borrow_mut().record_silent_migration();
        }
        self.relay.borrow_mut().attempt_ended(seat.id, outcome, true, None);
        seat.answered = true;
        drop(seat);
        match (ending, server) {
            (Ending::ConnectionTransfer, Some(server)) => self.pass_on(&server),
            (ending, _) => self.close(ending).await,
        }
    }

    /// Has another process of this relay go on with it, or moves the client if there is none any more.
    fn pass_on(self, server: &EndpointId) {
        let snapshot = ConnectionSnapshot {
            head: self.head.as_bytes().to_vec(),
            server: server.0.as_ref().to_owned(),
            to_client: [&self.to_client[..], &self.half].concat(),
            to_server: self.to_server.to_vec(),
            watch: self.watch,
            last: self.last,
            unanswered: self.unanswered,
            load: self.load,
        };
        let passed = ConnectionTransfer { snapshot, downstream: self.client, upstream: self.server };
        if let Err(passed) = self.relay.borrow_mut().transfer_connection(passed) {
            passed.migrate(&self.timers);
        }
    }

    async fn run(&mut self, orders: &mut UnboundedReceiver<ConnectionCommand>) -> Ending {
        let look = self.timers.sleep(LOOK);
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
                        Some(ConnectionCommand::Migrate) | None => self.move_from = Some(self.timers.clock.now()),
                        Some(ConnectionCommand::Transfer) => self.passing = true,
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
                () = &mut look => look.set(self.timers.sleep(LOOK)),
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
            return Some(Ending::ConnectionTransfer);
        }
        // While the client itself does not read, the card server is not read and not to blame.
        let silent = self.unanswered.is_some_and(|since| now >= since + SILENCE);
        (silent && self.to_client.is_empty()).then_some(Ending::Silent)
    }

    /// Nothing waits to be sent to the client, and what was sent ended a line.
    fn move_fits(&self) -> bool {
        self.to_client.is_empty() && !self.cut
    }

    /// No line is under way either: a move now loses nothing of one.
    fn between_lines(&self) -> bool {
        self.to_client.is_empty() && self.watch.between_lines()
    }

    fn read_server(&mut self) {
        let mut bytes = BytesMut::with_capacity(BUFFER);
        let reset = match self.server.try_read_buf(&mut bytes) {
            Ok(0) => false,
            Ok(_) => return self.take_lines(bytes),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            Err(e) => is_reset(&e),
        };
        self.server_end = Some((reset, self.timers.clock.now()));
        // It has stopped short: the client sees what it said.
        self.to_client.unsplit(self.half.split());
    }

    /// Lines of the card server: passed on as they are, its load told to the decisions.
    fn take_lines(&mut self, bytes: BytesMut) {
        let (mut load, mut answered, mut last) = (None, false, self.last);
        self.watch.observe(&bytes, |word| {
            answered |= !matches!(word, EndpointLine::Load(_));
            last = match word {
                EndpointLine::Completed(_) => LastLine::Completed,
                EndpointLine::Migrate => LastLine::Migrate,
                EndpointLine::Failed(_) => LastLine::Failed,
                EndpointLine::Load(now) => {
                    load = Some(now);
                    LastLine::Other
                }
                _ => LastLine::Other,
            };
        });
        self.last = last;
        // Guards against taking the beginning of a line that stops short, or news of the load, for an answer.
        if let Some(since) = self.unanswered.take_if(|_| answered) {
            let took = self.timers.clock.now().saturating_sub(since);
            self.relay.borrow_mut().message_latency_measured(self.id, took);
        }
        if let Some(load) = load {
            self.load = Some(load);
            self.relay.borrow_mut().connection_load_reported(self.id, load);
        }
        self.relay.borrow_mut().record_bytes(true, bytes.len());
        self.half.unsplit(bytes);
        let whole = complete_lines_len(&self.half);
        if whole == self.half.len() || self.half.len() >= BUFFER {
            // A line that is longer than any may be is not waited for.
            self.cut = whole < self.half.len();
            self.to_client.unsplit(std::mem::take(&mut self.half));
        } else if whole > 0 {
            self.cut = false;
            self.to_client.unsplit(self.half.split_to(whole));
        }
    }

    fn read_client(&mut self) {
        self.to_server.reserve(BUFFER);
        let now = self.timers.clock.now();
        match self.client.try_read_buf(&mut self.to_server) {
            Ok(0) => self.client_end = Some((false, now)),
            Ok(count) => {
                self.relay.borrow_mut().record_bytes(false, count);
                self.unanswered.get_or_insert(now);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => self.client_end = Some((is_reset(&e), now)),
        }
    }

    /// Ends what is left of the session: the other side in the same way, or both after a `MOVE`.
    async fn close(self, ending: Ending) {
        let fits = self.move_fits();
        let Pump { client, server, timers, .. } = self;
        match ending {
            Ending::Server { reset } => mirror(&timers, client, reset).await,
            Ending::Client { reset } => mirror(&timers, server, reset).await,
            Ending::Moved | Ending::Silent | Ending::ConnectionTransfer => {
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
