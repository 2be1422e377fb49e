//! The task that owns the replica and its storage.

use std::collections::BTreeMap;
use std::time::Duration;

use honeyknot_lease::{ClockDriftChange, ClockDriftMonitor};
use honeyknot_lease_consensus::{ClientRequest, PeerMessage, Replica, ReplicaAction, ReplicaId, Response};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, Interval, MissedTickBehavior, interval, timeout_at};
use tracing::{error, info, warn};

use super::error::LeaseServerError;
use super::event::{ConnectionId, ServerEvent};
use super::storage::LeaseDatabase;
use crate::lease_client::Clock;
use crate::lease_client::frame::Frame;

/// How long a leader that shuts down waits for another replica to take over.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);

/// The role that was logged last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LoggedRole {
    leader: Option<ReplicaId>,
    is_leader: bool,
}

pub(super) struct EventLoop {
    replica: Replica,
    database: LeaseDatabase,
    clock: Clock,
    peers: BTreeMap<ReplicaId, mpsc::Sender<PeerMessage>>,
    clients: BTreeMap<ConnectionId, mpsc::Sender<Frame>>,
    clock_drift: ClockDriftMonitor,
    logged_role: LoggedRole,
}

impl EventLoop {
    pub(super) fn new(
        replica: Replica, database: LeaseDatabase, clock: Clock,
        peers: BTreeMap<ReplicaId, mpsc::Sender<PeerMessage>>, drift_ppm: u64,
    ) -> EventLoop {
        EventLoop {
            replica,
            database,
            clock,
            peers,
            clients: BTreeMap::new(),
            clock_drift: ClockDriftMonitor::new(drift_ppm),
            logged_role: LoggedRole::default(),
        }
    }

    /// Runs until SIGTERM or an error.
    pub(super) async fn run(
        mut self, mut events: mpsc::Receiver<ServerEvent>, tick_interval: Duration,
    ) -> Result<(), LeaseServerError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(LeaseServerError::Runtime)?;
        let mut ticks = interval(tick_interval);
        // Missed ticks are skipped: the time for which a process was stopped must not count as time without
        // a leader.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                event = events.recv() => {
                    let Some(event) = event else { return Ok(()) };
                    self.on_event(event)?;
                    // All events that wait share one write.
                    while let Ok(event) = events.try_recv() {
                        self.on_event(event)?;
                    }
                }
                _ = ticks.tick() => self.replica.tick((self.clock)()),
                _ = terminate.recv() => break,
            }
            self.advance_replica()?;
        }
        self.shut_down(&mut events, &mut ticks).await?;
        info!(target: "lease_server", "lease server stopped");
        Ok(())
    }

    /// Transfers the leadership, so that clients need not wait for an election.
    async fn shut_down(
        &mut self, events: &mut mpsc::Receiver<ServerEvent>, ticks: &mut Interval,
    ) -> Result<(), LeaseServerError> {
        let deadline = Instant::now() + LEADERSHIP_TRANSFER_TIMEOUT;
        self.replica.transfer_leadership();
        self.advance_replica()?;
        while self.replica.is_leader() {
            tokio::select! {
                event = timeout_at(deadline, events.recv()) => match event {
                    Ok(Some(event)) => self.on_event(event)?,
                    _ => break,
                },
                _ = ticks.tick() => self.replica.tick((self.clock)()),
            }
            self.advance_replica()?;
        }
        Ok(())
    }

    fn on_event(&mut self, event: ServerEvent) -> Result<(), LeaseServerError> {
        match event {
            ServerEvent::PeerMessage { sent_at, message } => {
                let change = self.clock_drift.message_received((self.clock)(), message.from, sent_at);
                log_clock_drift(message.from, change);
                self.replica.step(message)?;
            }
            ServerEvent::Request { connection, id, commands } => {
                let request = ClientRequest { client: connection, id, commands };
                self.replica.request((self.clock)(), request);
            }
            ServerEvent::ClientConnected { connection, frames } => {
                self.clients.insert(connection, frames);
            }
            ServerEvent::Disconnected { connection } => {
                self.clients.remove(&connection);
            }
            ServerEvent::PeerUnreachable(replica) => self.replica.report_unreachable(replica),
            ServerEvent::PeerConnected { replica, database_id } => {
                // The peer may be a new process on a machine that was restarted.
                self.clock_drift.reset_peer(replica);
                self.database.remember_peer(replica, database_id)?;
            }
        }
        Ok(())
    }

    /// Persists what the replica has to persist and performs the actions that follow, until there are none.
    fn advance_replica(&mut self) -> Result<(), LeaseServerError> {
        while let Some(write) = self.replica.ready((self.clock)()) {
            // A failed write ends the process, because the engine relies on the write.
            self.database.write(&write)?;
            for action in self.replica.advance((self.clock)(), write)? {
                self.perform(action);
            }
        }
        self.log_role_change();
        Ok(())
    }

    fn perform(&mut self, action: ReplicaAction) {
        match action {
            ReplicaAction::Send(message) => self.send_to_peer(message),
            ReplicaAction::Respond { client, request_id, response } => {
                self.respond(client, request_id, response);
            }
        }
    }

    fn send_to_peer(&mut self, message: PeerMessage) {
        let (peer, has_snapshot) = (message.to, message.has_snapshot());
        let queued = self.peers.get(&peer).is_some_and(|queue| queue.try_send(message).is_ok());
        if !queued {
            self.replica.report_unreachable(peer);
        } else if has_snapshot {
            self.replica.report_snapshot_sent(peer);
        }
    }

    fn respond(&mut self, connection: ConnectionId, id: u64, response: Response) {
        let Some(client) = self.clients.get(&connection) else { return };
        if client.try_send(Frame::Response { id, response }).is_err() {
            // The client does not read its responses. Dropping the queue closes the connection.
            self.clients.remove(&connection);
        }
    }

    fn log_role_change(&mut self) {
        let role = LoggedRole { leader: self.replica.leader(), is_leader: self.replica.is_leader() };
        if role == self.logged_role {
            return;
        }
        self.logged_role = role;
        let term = self.replica.term();
        match role.leader {
            _ if role.is_leader => info!(target: "lease_server", term, "became leader"),
            Some(leader) => info!(target: "lease_server", term, leader, "following leader"),
            None => warn!(target: "lease_server", term, "no leader"),
        }
    }
}

/// Logs a change of a peer's clock drift. Which of the two clocks is wrong is unknown; until it is corrected,
/// only fencing tokens prevent conflicting actions.
fn log_clock_drift(replica: ReplicaId, change: Option<ClockDriftChange>) {
    match change {
        Some(ClockDriftChange::Exceeded(drift_ppm)) => {
            error!(target: "lease_server", replica, drift_ppm, "clock drift beyond the bound");
        }
        Some(ClockDriftChange::WithinBound) => {
            info!(target: "lease_server", replica, "clock drift within the bound again");
        }
        None => {}
    }
}
