//! One connection of a lease client to a lease server.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use honeyknot_lease_consensus::{ReplicaId, Response};
use tokio::sync::mpsc;
use tracing::debug;

use super::codec::{self, ProtocolError};
use super::frame::Frame;
use super::greeting::Greeting;
use super::handshake;

/// Maximum number of unanswered requests in a row; the next request closes the connection.
const MAX_UNANSWERED: u32 = 3;

pub(super) enum ConnectionEvent {
    Response { id: u64, response: Response },
    Closed { server: ReplicaId, error: String },
}

pub(super) struct ServerConnection {
    pub(super) server: ReplicaId,
    pub(super) address: SocketAddr,
    pub(super) greeting: Greeting,
    pub(super) frames: mpsc::Receiver<Frame>,
    pub(super) events: mpsc::Sender<ConnectionEvent>,
    /// Timeout to establish the connection, and to send each frame.
    pub(super) io_timeout: Duration,
}

impl ServerConnection {
    /// Sends requests and reports responses until the connection fails or the request loop drops its queue.
    pub(super) async fn run(mut self) {
        let Err(error) = self.exchange_frames().await else { return };
        let (server, error) = (self.server, error.to_string());
        // From here on the request loop cannot queue a request that would never be sent.
        drop(self.frames);
        debug!(target: "lease_client", server, error, "connection to lease server closed");
        let _ = self.events.send(ConnectionEvent::Closed { server, error }).await;
    }

    async fn exchange_frames(&mut self) -> io::Result<()> {
        let (mut reader, mut writer) = handshake::dial(self.address, &self.greeting, self.io_timeout).await?;
        let mut unanswered = 0;
        loop {
            tokio::select! {
                frame = self.frames.recv() => {
                    let Some(frame) = frame else { return Ok(()) };
                    unanswered += 1;
                    if unanswered > MAX_UNANSWERED {
                        return Err(ErrorKind::TimedOut.into());
                    }
                    codec::send(&mut writer, &frame, self.io_timeout).await?;
                }
                frame = reader.next() => match frame? {
                    Some(Frame::Response { id, response }) => {
                        unanswered = 0;
                        if self.events.send(ConnectionEvent::Response { id, response }).await.is_err() {
                            return Ok(());
                        }
                    }
                    Some(_) => return Err(ProtocolError::NotAResponse.into()),
                    None => return Err(ErrorKind::ConnectionReset.into()),
                }
            }
        }
    }
}
