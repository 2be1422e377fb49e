//! Commands to the discovery client, and what they do to its request in flight.

use std::net::SocketAddr;

use honeyknot_balancer::Micros;
use honeyknot_discovery::{DiscoveryPoller, Peer};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use super::shared_list::{SharedList, with_addresses};
use crate::relay::SharedRelay;

/// A command to the discovery client.
#[derive(Debug)]
pub enum DiscoveryCommand {
    /// Request the full endpoint list once.
    FetchFullList,
    /// Use this address of discovery from now on.
    ChangeAddress(SocketAddr),
    /// Record that an endpoint listed as ready refused a connection.
    ConnectionRefused,
    /// Accept what is newer in a list of the other process of this relay.
    ReceiveSharedList(Peer, SharedList),
    /// The other process of this relay has ended.
    ForgetPeer,
    /// Close the connection and end the client, once a response that has already arrived is applied. The sender is
    /// dropped after that.
    Stop(oneshot::Sender<()>),
}

/// Why the request in flight is abandoned.
pub(super) enum Interruption {
    /// Discovery's address has changed to this one.
    AddressChanged(SocketAddr),
    /// The full list must be fetched at once.
    FullListNeeded,
    /// The client must end; the sender is dropped once it has.
    Stopped(oneshot::Sender<()>),
    /// The endpoint list is stale, although the watch in flight should have reported a change.
    StaleList,
}

/// Handles a command. Returns why a request in flight must be abandoned, or `None` if it need not be.
pub(super) fn handle_command(
    command: DiscoveryCommand, poller: &mut DiscoveryPoller, relay: &SharedRelay, now: Micros,
) -> Option<Interruption> {
    match command {
        DiscoveryCommand::FetchFullList => {
            poller.request_full_list();
            None
        }
        DiscoveryCommand::ConnectionRefused => {
            poller.connection_refused(now).then_some(Interruption::StaleList)
        }
        DiscoveryCommand::ChangeAddress(address) => Some(Interruption::AddressChanged(address)),
        DiscoveryCommand::ReceiveSharedList(peer, list) => {
            receive_shared_list(poller, relay, peer, list);
            None
        }
        DiscoveryCommand::Stop(stopped) => Some(Interruption::Stopped(stopped)),
        DiscoveryCommand::ForgetPeer => poller.depends_on_peer().then_some(Interruption::FullListNeeded),
    }
}

/// Applies the part of the other process's list that the poller accepts.
fn receive_shared_list(poller: &mut DiscoveryPoller, relay: &SharedRelay, peer: Peer, list: SharedList) {
    let (report, addresses) = list.into_report();
    let accepted = poller.receive_report(peer, report);
    let mut relay = relay.borrow_mut();
    relay.list_origin = poller.origin();
    relay.apply_shared_list(with_addresses(accepted, addresses));
}

/// Handles commands until one interrupts the request in flight. Returns `None` once the relay has stopped.
pub(super) async fn next_interruption(
    commands: &mut UnboundedReceiver<DiscoveryCommand>, poller: &mut DiscoveryPoller, relay: &SharedRelay,
) -> Option<Interruption> {
    let timers = relay.borrow().timers.clone();
    loop {
        let command = commands.recv().await?;
        if let Some(interruption) = handle_command(command, poller, relay, timers.clock.now()) {
            return Some(interruption);
        }
    }
}
