//! Sends messages to one other lease server and reconnects when the connection fails.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use honeyknot_lease_consensus::{PeerMessage, ReplicaId};
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::info;

use super::event::ServerEvent;
use crate::lease_client::Clock;
use crate::lease_client::codec;
use crate::lease_client::frame::Frame;
use crate::lease_client::greeting::Greeting;
use crate::lease_client::handshake;

/// Sends messages to one peer.
pub(super) struct PeerSender {
    pub(super) peer: ReplicaId,
    pub(super) address: SocketAddr,
    pub(super) greeting: Greeting,
    pub(super) messages: mpsc::Receiver<PeerMessage>,
    pub(super) events: mpsc::Sender<ServerEvent>,
    pub(super) election_timeout: Duration,
    pub(super) clock: Clock,
}

impl PeerSender {
    /// Runs until the queue of messages is closed. Messages that are queued while there is no connection are
    /// dropped, because raft sends them again.
    pub(super) async fn run(mut self) {
        let mut rng = rand::rngs::StdRng::seed_from_u64(self.peer ^ u64::from(std::process::id()));
        let mut logged_error = None;
        loop {
            let mut connected = false;
            let Err(error) = self.send_messages(&mut connected).await else { return };
            if connected {
                logged_error = None;
            }
            let error = error.to_string();
            if logged_error.as_ref() != Some(&error) {
                let (replica, address) = (self.peer, self.address);
                info!(target: "lease_server", replica, %address, error, "replica unreachable");
                logged_error = Some(error);
            }
            let _ = self.events.send(ServerEvent::PeerUnreachable(self.peer)).await;
            sleep(rng.random_range(self.election_timeout / 20..self.election_timeout / 4)).await;
            while self.messages.try_recv().is_ok() {}
        }
    }

    async fn send_messages(&mut self, connected: &mut bool) -> io::Result<()> {
        let (mut reader, mut writer) =
            handshake::dial(self.address, &self.greeting, self.election_timeout).await?;
        *connected = true;
        loop {
            tokio::select! {
                message = self.messages.recv() => {
                    let Some(message) = message else { return Ok(()) };
                    let frame = Frame::PeerMessage((self.clock)(), message);
                    codec::send(&mut writer, &frame, 2 * self.election_timeout).await?;
                }
                // The peer sends nothing after its greeting, so the connection has ended.
                _ = reader.next() => return Err(ErrorKind::ConnectionReset.into()),
            }
        }
    }
}
