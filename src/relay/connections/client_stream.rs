//! The client's side of a connection that is not established: its socket and the bytes received on it.

use std::rc::Rc;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::graceful_close;
use super::protocol::MAX_LINE_BYTES;
use crate::relay::counter::Counter;
use crate::relay::timer_wheel::Timers;
use crate::relay::{DescriptorPermit, SharedRelay};

/// Size in bytes of a connection's buffer in each direction: a line of the maximum length always fits.
pub(super) const BUFFER_BYTES: usize = MAX_LINE_BYTES;
/// Initial size of the buffer for a request, in bytes.
const REQUEST_BUFFER_BYTES: usize = 512;

/// A client's socket until its connection is established.
pub(super) struct ClientStream {
    pub(super) stream: TcpStream,
    /// Bytes that were received and not consumed yet.
    pub(super) received: BytesMut,
    pub(super) timers: Rc<Timers>,
    pub(super) permit: DescriptorPermit,
    final_writes: Counter,
}

/// What a client did while it should have waited for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientActivity {
    /// It closed the connection, or shut down its sending direction.
    Disconnected,
    /// It sent bytes after its request.
    SentData,
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream, permit: DescriptorPermit, relay: &SharedRelay) -> ClientStream {
        let relay = relay.borrow();
        ClientStream {
            stream,
            received: BytesMut::with_capacity(REQUEST_BUFFER_BYTES),
            timers: relay.timers.clone(),
            permit,
            final_writes: relay.final_writes.clone(),
        }
    }

    /// Waits until the client disconnects or sends data, although it should wait for its response.
    ///
    /// Shutting down the sending direction counts as disconnecting: in the line protocol a client cancels its
    /// request that way, and closing one direction ends both.
    pub(super) async fn next_activity(&mut self) -> ClientActivity {
        match self.stream.read_buf(&mut self.received).await {
            Ok(0) | Err(_) => ClientActivity::Disconnected,
            Ok(_) => ClientActivity::SentData,
        }
    }

    /// Waits until the client disconnects, or has sent as much as is buffered for its endpoint.
    pub(super) async fn disconnected_or_overflowed(&mut self) -> ClientActivity {
        while self.received.len() < BUFFER_BYTES {
            if self.next_activity().await == ClientActivity::Disconnected {
                return ClientActivity::Disconnected;
            }
        }
        ClientActivity::SentData
    }

    /// Sends a last line and closes the connection gracefully.
    pub(super) async fn close_with(self, last_line: &[u8]) {
        let write = self.final_writes.add_one();
        graceful_close::close_with(&self.timers, self.stream, last_line, write).await;
    }
}
