//! The client's side of a connection that is not established: its socket, and what it sent ahead of an answer.

use std::rc::Rc;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::graceful_close::{self, GRACEFUL_CLOSE_TIMEOUT};
use super::protocol::MAX_LINE_BYTES;
use crate::relay::DescriptorPermit;
use crate::relay::timer_wheel::Timers;

/// Size in bytes of a connection's buffer in each direction: one line of the maximum length always fits.
pub(super) const BUFFER_BYTES: usize = MAX_LINE_BYTES;
/// Initial size in bytes of the buffer for a request.
const REQUEST_BUFFER_BYTES: usize = 512;

/// A client's stream until its connection is established.
pub(super) struct ClientStream {
    pub(super) stream: TcpStream,
    /// Bytes received and not consumed yet.
    pub(super) received: BytesMut,
    pub(super) timers: Rc<Timers>,
    pub(super) permit: DescriptorPermit,
}

/// What a client did while it had to wait for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientActivity {
    /// It closed the connection, or its direction of it.
    Left,
    /// It sent bytes after its request.
    SentData,
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream, permit: DescriptorPermit, timers: Rc<Timers>) -> ClientStream {
        ClientStream { stream, received: BytesMut::with_capacity(REQUEST_BUFFER_BYTES), timers, permit }
    }

    /// Waits until the client leaves or sends data, though it has to wait for its answer.
    ///
    /// A client that shuts down its sending direction has left: the line protocol gives a request up in that way, and
    /// a side that closes its connection ends both.
    pub(super) async fn activity(&mut self) -> ClientActivity {
        match self.stream.read_buf(&mut self.received).await {
            Ok(0) | Err(_) => ClientActivity::Left,
            Ok(_) => ClientActivity::SentData,
        }
    }

    /// Waits until the client leaves, or has sent more than is buffered for its endpoint.
    pub(super) async fn left_or_overflowed(&mut self) -> ClientActivity {
        while self.received.len() < BUFFER_BYTES {
            if self.activity().await == ClientActivity::Left {
                return ClientActivity::Left;
            }
        }
        ClientActivity::SentData
    }

    /// Sends a last line and closes the connection gracefully.
    pub(super) async fn close_with(mut self, last_line: &[u8]) {
        tokio::select! {
            _ = self.stream.write_all(last_line) => {}
            () = self.timers.sleep(GRACEFUL_CLOSE_TIMEOUT) => {}
        }
        graceful_close::close(&self.timers, self.stream).await;
    }
}
