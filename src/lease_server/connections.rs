//! Connections that clients and other lease servers open to this one.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_lease_consensus::ReplicaId;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::warn;

use super::event::{ConnectionId, QUEUE_CAPACITY, ServerEvent};
use super::known_databases::KnownDatabases;
use crate::lease_client::codec::{self, FrameReader, ProtocolError};
use crate::lease_client::frame::Frame;
use crate::lease_client::greeting::{Greeting, GreetingSender};
use crate::lease_client::handshake;

/// Maximum number of open connections.
pub const MAX_CONNECTIONS: usize = 4_096;
/// Time within which a client must take a frame before it is disconnected.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Accepts connections and reports what arrives on them as events to the task that owns the replica.
#[derive(Clone, Debug)]
pub(super) struct ConnectionAcceptor {
    pub(super) greeting: Greeting,
    pub(super) known_databases: KnownDatabases,
    pub(super) events: mpsc::Sender<ServerEvent>,
}

impl ConnectionAcceptor {
    pub(super) async fn run(self, listener: TcpListener) {
        let open_connections = Rc::new(());
        for connection in 0.. {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!(target: "lease_server", %error, "failed to accept a connection");
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                    continue;
                }
            };
            if Rc::strong_count(&open_connections) > MAX_CONNECTIONS {
                continue;
            }
            let (acceptor, open) = (self.clone(), open_connections.clone());
            tokio::task::spawn_local(async move {
                let _open = open;
                // Clients log the errors of their connections, and a rejected lease server is logged by both
                // sides.
                let _ = acceptor.serve(connection, stream).await;
                acceptor.report(ServerEvent::Disconnected { connection }).await;
            });
        }
    }

    async fn serve(&self, connection: ConnectionId, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (read_half, mut writer) = stream.into_split();
        let mut reader = FrameReader::new(read_half);
        let check = |greeting: &Greeting| self.check(greeting);
        let greeting = handshake::accept(&mut reader, &mut writer, check).await?;
        match greeting.sender {
            GreetingSender::LeaseServer(replica, database_id) => {
                self.report(ServerEvent::PeerConnected { replica, database_id }).await;
                self.serve_peer(replica, reader).await
            }
            GreetingSender::Client(_) => self.serve_client(connection, reader, writer).await,
        }
    }

    /// Checks a greeting. The reason of a rejection is sent to the other side.
    fn check(&self, greeting: &Greeting) -> Result<(), String> {
        self.greeting.check(greeting).map_err(|mismatch| mismatch.to_string())?;
        let GreetingSender::LeaseServer(replica, database_id) = greeting.sender else { return Ok(()) };
        self.known_databases.check(replica, database_id).map_err(|error| {
            warn!(target: "lease_server", replica, %error, "rejected a connection from a lease server");
            error.to_string()
        })
    }

    async fn serve_peer(&self, replica: ReplicaId, mut reader: FrameReader<OwnedReadHalf>) -> io::Result<()> {
        while let Some(frame) = reader.next().await? {
            match frame {
                Frame::PeerMessage(sent_at, message) if message.from == replica => {
                    self.report(ServerEvent::PeerMessage { sent_at, message }).await;
                }
                _ => return Err(ProtocolError::NotAPeerMessage.into()),
            }
        }
        Ok(())
    }

    async fn serve_client(
        &self, connection: ConnectionId, mut reader: FrameReader<OwnedReadHalf>, mut writer: OwnedWriteHalf,
    ) -> io::Result<()> {
        let (frames, mut responses) = mpsc::channel(QUEUE_CAPACITY);
        self.report(ServerEvent::ClientConnected { connection, frames }).await;
        loop {
            tokio::select! {
                frame = reader.next() => match frame? {
                    Some(Frame::Request { id, commands }) => {
                        self.report(ServerEvent::Request { connection, id, commands }).await;
                    }
                    Some(_) => return Err(ProtocolError::NotARequest.into()),
                    None => return Ok(()),
                },
                response = responses.recv() => {
                    let Some(response) = response else { return Ok(()) };
                    codec::send(&mut writer, &response, SEND_TIMEOUT).await?;
                }
            }
        }
    }

    async fn report(&self, event: ServerEvent) {
        let _ = self.events.send(event).await;
    }
}
