//! One attempt at a card server: the dial, the head, the first line of its answer.

use std::io;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::protocol::{self, EndpointLine, OpenRequest, load_report_value};
use crate::relay::{AttemptRequest, ConnectionCommand, SharedRelay};
use honeyknot_balancer::*;

/// How an attempt went.
pub(super) enum Came {
    /// The card server took the session; what it has sent so far begins with its `UP`.
    Up(TcpStream, BytesMut),
    /// It ended without a session.
    Ended(Outcome, Option<LoadReport>),
    /// The card server served it to its end at once; these are its words.
    Served(BytesMut),
    /// The client left.
    Left,
    /// The decisions answered while it was out.
    Answered(ConnectionCommand),
}

/// Whether the last byte of the head was written: up to then the card server cannot have run it.
pub(super) type Sent = std::cell::Cell<bool>;

/// Connects, sends the head and reads the card server's first line.
pub(super) async fn dial(
    relay: &SharedRelay, head: &OpenRequest, place: &AttemptRequest, due: Micros, sent: &Sent,
) -> Came {
    let timers = relay.borrow().timers.clone();
    let wait = relay.borrow().connect_timeout();
    let dialled = tokio::select! {
        dialled = TcpStream::connect(place.address) => dialled,
        () = timers.sleep(wait) => Err(io::ErrorKind::TimedOut.into()),
    };
    if dialled.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused) {
        relay.borrow().connection_refused_by(&place.endpoint);
    }
    // Guards against a connection that came up late: meanwhile the card server may have begun to drain, and the time in
    // which card servers still know the first of two attempts may have passed.
    let in_time = |now| place.send_before.is_none_or(|end| now < end);
    let may_send = || relay.borrow().may_send_to(&place.endpoint) && in_time(timers.clock.now());
    let Some(mut server) = dialled.ok().filter(|_| may_send()) else {
        return Came::Ended(Outcome::ConnectFailed, None);
    };
    let _ = server.set_nodelay(true);
    let left = due.saturating_sub(timers.clock.now()) / 1_000;
    if write_head(&mut server, head, left.max(1)).await.is_err() {
        return Came::Ended(Outcome::ConnectFailed, None);
    }
    sent.set(true);
    relay.borrow_mut().record_forwarded(head);
    read_answer(relay, server).await
}

/// Writes the head with another wait, gathered from its pieces.
async fn write_head(server: &mut TcpStream, head: &OpenRequest, wait_ms: u64) -> io::Result<()> {
    let digits = wait_ms.to_string();
    let mut pieces = head.with_time_remaining_ms(digits.as_bytes());
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

async fn read_answer(relay: &SharedRelay, mut server: TcpStream) -> Came {
    let mut bytes = BytesMut::with_capacity(512);
    let end = loop {
        match protocol::first_line_end(&bytes) {
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
        (!text.is_empty()).then(|| relay.names.load_report(|name| load_report_value(text, name)))
    };
    match EndpointLine::parse(&bytes[..end]) {
        EndpointLine::Established => Came::Up(server, bytes),
        EndpointLine::Completed(_) => Came::Served(bytes),
        EndpointLine::Migrate => Came::Ended(Outcome::Cancelled, None),
        EndpointLine::Rejected(text) => Came::Ended(Outcome::Rejected, report(text)),
        EndpointLine::Failed(text) => Came::Ended(Outcome::Error, report(text)),
        _ => Came::Ended(Outcome::Error, None),
    }
}

/// Dials the card server of a session from before the run, once.
pub(super) async fn dial_again(
    relay: &SharedRelay, head: &OpenRequest, id: &EndpointId, address: std::net::SocketAddr,
) -> Option<(TcpStream, BytesMut)> {
    let mut server = TcpStream::connect(address).await.ok()?;
    // Guards against a connection that comes up after an operator has taken the card server out.
    if relay.borrow().in_maintenance(id) {
        return None;
    }
    let _ = server.set_nodelay(true);
    server.write_all(head.as_bytes()).await.ok()?;
    relay.borrow_mut().record_forwarded(head);
    match read_answer(relay, server).await {
        Came::Up(server, bytes) => Some((server, bytes)),
        _ => None,
    }
}
