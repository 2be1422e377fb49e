//! The link between the two processes of a relay while both run.

use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;

use honeyknot_balancer::{EndpointId, Micros};
use honeyknot_discovery::Peer;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tracing::{info, warn};

use super::maintenance::MaintenanceChange;
use super::ownership::{LinkCommand, RestartStage};
use super::{HotRestartMessage, SharedListMessage, StateDirectory, TakeoverChannel, successor};
use crate::relay::SharedRelay;
use crate::relay::connections::{self, ConnectionSnapshot, ConnectionTransfer, listener};
use crate::relay::endpoints::discovery_client::DiscoveryCommand;
use crate::relay::notice::Notice;
use crate::relay::timer_wheel::Timers;
use crate::relay::used_ids::ConnectionIdHash;

/// Interval at which the predecessor reports its number of descriptors, in microseconds.
const DESCRIPTOR_REPORT_INTERVAL: Micros = 500_000;
/// Descriptors that an established connection uses.
const DESCRIPTORS_PER_CONNECTION: usize = 2;

/// Whether the other process can still be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Open,
    /// The other process has closed the channel; messages that it sent before may not be handled yet.
    Broken,
    /// Nothing more is sent or received.
    Closed,
}

impl LinkState {
    /// Returns the link's state after an attempt to send.
    fn after_send(result: std::io::Result<()>) -> LinkState {
        if result.is_ok() { LinkState::Open } else { LinkState::Broken }
    }
}

/// Runs the link until either process ends.
///
/// `listener` is `Some` in the predecessor only, which accepts clients again if its successor ends.
pub(super) async fn run(
    relay: SharedRelay, directory: Rc<StateDirectory>, listener: Option<Rc<TcpListener>>,
    channel: TakeoverChannel, mut commands: UnboundedReceiver<LinkCommand>,
) {
    let timers = relay.borrow().timers.clone();
    let transfers_end = relay.borrow().listener_ownership.transfers_end.clone();
    let (task_relay, task_directory) = (relay.clone(), directory.clone());
    let mut link =
        LinkTask { relay: task_relay, directory: task_directory, listener, channel, transfers_end };
    link.exchange(&mut commands, &timers).await;
    let stage = relay.borrow_mut().listener_ownership.link.take().map(|link| link.stage);
    relay.borrow().send_discovery_command(DiscoveryCommand::ForgetPeer);
    commands.close();
    while let Some(command) = commands.recv().await {
        if let LinkCommand::Transfer(transfer) = command {
            transfer.migrate(&timers);
        }
    }
    info!(target: "hot_restart", "the link to the other process has closed");
    let Some(listener) = link.listener.filter(|_| stage == Some(RestartStage::HandedOver)) else { return };
    if !relay.borrow().is_shutting_down() {
        warn!(target: "hot_restart", "the successor has ended; accepting clients again");
        listener::start_accepting(&relay, &listener);
        successor::listen_for_successors_again(relay, directory, listener);
    }
}

/// The task that runs one end of the link.
struct LinkTask {
    relay: SharedRelay,
    directory: Rc<StateDirectory>,
    /// The listener, in the predecessor; `None` in the successor.
    listener: Option<Rc<TcpListener>>,
    channel: TakeoverChannel,
    transfers_end: Notice,
}

impl LinkTask {
    async fn exchange(&mut self, commands: &mut UnboundedReceiver<LinkCommand>, timers: &Rc<Timers>) {
        let mut state = LinkState::Open;
        while state == LinkState::Open {
            state = tokio::select! {
                message = self.channel.next() => match message {
                    Some(message) => {
                        self.handle_message(message);
                        LinkState::Open
                    }
                    None => LinkState::Closed,
                },
                command = commands.recv() => match command {
                    Some(command) => self.execute(command, timers).await,
                    None => LinkState::Closed,
                },
                () = timers.sleep(DESCRIPTOR_REPORT_INTERVAL), if self.listener.is_some() => {
                    self.report_descriptors().await
                }
            };
        }
        if state == LinkState::Broken {
            self.handle_last_messages().await;
        }
    }

    /// Handles what the other process has sent before it closed the channel.
    async fn handle_last_messages(&mut self) {
        while let Some(message) = self.channel.next().await {
            self.handle_message(message);
        }
    }

    /// Sends a message with descriptors. A process that hangs may never receive it, so the end of the
    /// transfers also ends the attempt, and with it the link.
    async fn send(&mut self, message: &HotRestartMessage, descriptors: &[BorrowedFd<'_>]) -> LinkState {
        tokio::select! {
            biased;
            sent = self.channel.send(message, descriptors) => LinkState::after_send(sent),
            () = self.transfers_end.given() => LinkState::Closed,
        }
    }

    async fn execute(&mut self, command: LinkCommand, timers: &Rc<Timers>) -> LinkState {
        match command {
            LinkCommand::Send(message) => self.send(&message, &[]).await,
            LinkCommand::SendUsedId(id, _queued) => {
                self.send(&HotRestartMessage::UsedIds { ids: vec![id] }, &[]).await
            }
            LinkCommand::Transfer(transfer) => self.send_connection(*transfer, timers).await,
            LinkCommand::SendLists => self.send_lists().await,
            LinkCommand::Flush(flushed) => {
                let _ = flushed.send(());
                LinkState::Open
            }
        }
    }

    async fn send_lists(&mut self) -> LinkState {
        let lists = self.relay.borrow_mut().take_pending_lists();
        for list in lists {
            let state = self.send(&HotRestartMessage::EndpointList(list), &[]).await;
            if state != LinkState::Open {
                return state;
            }
        }
        LinkState::Open
    }

    /// Sends a connection to the other process; if that fails, its client is migrated.
    async fn send_connection(&mut self, transfer: ConnectionTransfer, timers: &Rc<Timers>) -> LinkState {
        let sockets = [transfer.downstream.as_fd(), transfer.upstream.as_fd()];
        let message = HotRestartMessage::Connection(transfer.snapshot.clone());
        let state = self.send(&message, &sockets).await;
        if state != LinkState::Open {
            transfer.migrate(timers);
        }
        state
    }

    async fn report_descriptors(&mut self) -> LinkState {
        let descriptors = self.relay.borrow().descriptors_in_use.get();
        self.send(&HotRestartMessage::DescriptorsInUse { descriptors }, &[]).await
    }

    /// Handles a message. Answers are queued as commands: they must follow the changes that this process has
    /// made before, see [`Link::keeps_own_change`](super::ownership::Link::keeps_own_change).
    fn handle_message(&mut self, message: HotRestartMessage) {
        match message {
            HotRestartMessage::TakeOver if self.listener.is_some() => self.hand_over(),
            HotRestartMessage::HandedOver { maintenance, draining } if self.listener.is_none() => {
                self.relay.borrow_mut().complete_takeover(maintenance, &draining);
            }
            HotRestartMessage::SetMaintenance { id, in_maintenance, number } => {
                let change = MaintenanceChange::from_in_maintenance(in_maintenance);
                let id = EndpointId(id.as_str().into());
                self.relay.borrow_mut().receive_maintenance_change(&id, change, number);
                // Both processes save every change, so that whichever writes last writes the changes of both.
                self.directory.save_in_background(&self.relay);
            }
            HotRestartMessage::Confirmed { number } => {
                self.relay.borrow_mut().confirm_maintenance_change(number);
            }
            HotRestartMessage::EndpointList(list) => self.receive_list(&list),
            HotRestartMessage::UsedIds { ids } => self.receive_used_ids(ids),
            HotRestartMessage::Connection(snapshot) => self.receive_connection(snapshot),
            HotRestartMessage::DescriptorsInUse { descriptors } => {
                self.set_peer_descriptors(|_| descriptors);
            }
            _ => {}
        }
    }

    /// Stops accepting clients, and tells the successor that it may start.
    fn hand_over(&self) {
        listener::stop_accepting(&self.relay);
        self.relay.borrow_mut().hand_over();
        info!(target: "hot_restart", "handed over to the successor");
    }

    fn receive_list(&self, list: &SharedListMessage) {
        let peer = if self.listener.is_some() { Peer::Successor } else { Peer::Predecessor };
        if let Err(error) = self.relay.borrow().receive_shared_list(peer, list) {
            warn!(target: "hot_restart", %error, "endpoint list of the other process ignored");
        }
    }

    fn receive_used_ids(&self, ids: Vec<ConnectionIdHash>) {
        let mut relay = self.relay.borrow_mut();
        relay.connection_ids.add_used(ids);
        if let Some(link) = &mut relay.listener_ownership.link {
            link.peer_receives_used_ids = true;
        }
    }

    /// Restores a connection that the predecessor has transferred.
    fn receive_connection(&mut self, snapshot: ConnectionSnapshot) {
        let sockets = (self.channel.take_descriptor(), self.channel.take_descriptor());
        self.set_peer_descriptors(|descriptors| descriptors.saturating_sub(DESCRIPTORS_PER_CONNECTION));
        if let (Some(downstream), Some(upstream)) = sockets
            && let Err(error) = connections::restore_connection(&self.relay, snapshot, downstream, upstream)
        {
            warn!(target: "hot_restart", %error, "cannot restore a transferred connection");
        }
    }

    fn set_peer_descriptors(&self, update: impl FnOnce(usize) -> usize) {
        if let Some(link) = &mut self.relay.borrow_mut().listener_ownership.link {
            link.peer_descriptors = update(link.peer_descriptors);
        }
    }
}
