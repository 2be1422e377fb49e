//! Closing of connections: gracefully, so that the last line still arrives, or with a reset.

use std::io;
use std::rc::Rc;

use honeyknot_balancer::Micros;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::relay::counter::CounterGuard;
use crate::relay::timer_wheel::Timers;

/// Maximum number of bytes that are read and discarded while a connection is closed, which bounds the work
/// that a flooding client causes.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Size of the buffer for discarded bytes, in bytes.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;
/// Timeout for sending a last line, and for the peer to close its side, in microseconds.
pub const GRACEFUL_CLOSE_TIMEOUT: Micros = 300_000;

/// How a peer closed its side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseKind {
    /// With a FIN.
    Graceful,
    /// With a reset.
    Reset,
}

impl CloseKind {
    /// Returns how the peer closed its side, judging by the error of a read or write.
    pub(super) fn from_error(error: &io::Error) -> CloseKind {
        match error.kind() {
            io::ErrorKind::BrokenPipe | io::ErrorKind::NotConnected => CloseKind::Graceful,
            _ => CloseKind::Reset,
        }
    }
}

/// Closes a connection so that the last bytes written still arrive: closing with unread bytes would reset it.
pub async fn close(timers: &Rc<Timers>, mut stream: TcpStream) {
    let _ = stream.shutdown().await;
    tokio::select! {
        () = discard_received(&stream) => {}
        () = timers.sleep(GRACEFUL_CLOSE_TIMEOUT) => {}
    }
}

/// Closes a connection in the same way as its other side was closed.
pub(super) async fn close_like(kind: CloseKind, timers: &Rc<Timers>, stream: TcpStream) {
    match kind {
        CloseKind::Reset => {
            // The connection is reset when the stream is dropped on return.
            let _ = stream.set_zero_linger();
        }
        CloseKind::Graceful => close(timers, stream).await,
    }
}

/// Writes the last bytes for the peer, and closes the connection so that they still arrive.
///
/// `write` is released once the bytes are written, or cannot be written within `GRACEFUL_CLOSE_TIMEOUT`.
pub(super) async fn close_with(
    timers: &Rc<Timers>, mut stream: TcpStream, last_bytes: &[u8], write: CounterGuard,
) {
    // A socket that the runtime has only just registered is not known to be writable yet, so this must wait.
    tokio::select! {
        _ = stream.write_all(last_bytes) => {}
        () = timers.sleep(GRACEFUL_CLOSE_TIMEOUT) => {}
    }
    drop(write);
    close(timers, stream).await;
}

/// Closes both sides of a connection after the last bytes for the client, see
/// [`DownstreamBuffer::into_final_bytes`](super::downstream_buffer::DownstreamBuffer::into_final_bytes).
pub(super) async fn migrate(
    timers: &Rc<Timers>, downstream: TcpStream, upstream: TcpStream, last_bytes: &[u8], write: CounterGuard,
) {
    tokio::join!(close_with(timers, downstream, last_bytes, write), close(timers, upstream));
}

/// Reads and discards bytes until the peer closes its side. Never returns once the limit is reached; the
/// caller's timeout ends the wait.
///
/// The buffer is not held across an await, as hundreds of connections may be closing at the same time.
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
