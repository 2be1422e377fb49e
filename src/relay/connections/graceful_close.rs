//! Ends of connections: graceful, so that the last line still arrives, or by a reset.

use std::io;
use std::rc::Rc;

use honeyknot_balancer::Micros;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::protocol::MIGRATE;
use crate::relay::timer_wheel::Timers;

/// Bytes discarded at most of a connection that is being closed: more would let a client that floods be read for ever.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Size in bytes of the buffer for what is discarded.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;
/// How long a last line and the end of a connection may take to arrive.
pub const GRACEFUL_CLOSE_TIMEOUT: Micros = 300_000;

/// How a peer ended its side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseKind {
    /// In order.
    Graceful,
    /// By a reset.
    Reset,
}

impl CloseKind {
    /// The kind that an error of a read or write shows.
    pub(super) fn from_error(error: &io::Error) -> CloseKind {
        match error.kind() {
            io::ErrorKind::BrokenPipe | io::ErrorKind::NotConnected => CloseKind::Graceful,
            _ => CloseKind::Reset,
        }
    }
}

/// Closes a connection so that what was written last still arrives: closing with unread bytes would reset it.
pub async fn close(timers: &Rc<Timers>, mut stream: TcpStream) {
    let _ = stream.shutdown().await;
    tokio::select! {
        () = discard_received(&stream) => {}
        () = timers.sleep(GRACEFUL_CLOSE_TIMEOUT) => {}
    }
}

/// Closes a connection as its other side was closed.
pub(super) async fn close_like(kind: CloseKind, timers: &Rc<Timers>, stream: TcpStream) {
    match kind {
        CloseKind::Reset => {
            // The connection is reset when the stream is dropped on return.
            let _ = stream.set_zero_linger();
        }
        CloseKind::Graceful => close(timers, stream).await,
    }
}

/// Sends a client away to reconnect, if `at_line_boundary` between what was sent to it, and closes both sides.
pub(super) async fn migrate(
    timers: &Rc<Timers>, downstream: TcpStream, upstream: TcpStream, at_line_boundary: bool,
) {
    if at_line_boundary {
        // Nothing else waits to be sent, so the socket's buffer has space for it.
        let _ = downstream.try_write(MIGRATE);
    }
    tokio::join!(close(timers, downstream), close(timers, upstream));
}

/// Discards what still arrives until the peer closes its side; waits for ever once the limit is reached.
///
/// The buffer is not kept across an await, as hundreds of connections may be closing at once.
async fn discard_received(stream: &TcpStream) {
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES && stream.readable().await.is_ok() {
        match stream.try_read(&mut [0; DISCARD_BUFFER_BYTES]) {
            Ok(0) => return,
            Ok(count) => discarded += count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
    std::future::pending().await
}
