//! The endpoint list that both processes of a relay share, as they send it to each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use honeyknot_balancer::{EndpointId, Micros};
use honeyknot_discovery::{ListOrigin, ListScope, Peer};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::oneshot;

use super::ownership::LinkCommand;
use crate::relay::endpoints::discovery_client::{
    DiscoveryCommand, EndpointListError, EndpointListUpdate, SharedList, encode_endpoint_list,
    parse_endpoint_list,
};
use crate::relay::{Relay, SharedRelay};
use crate::settings::NameTable;

/// Maximum time for sending the last lists before the process exits, in microseconds.
const LAST_LISTS_TIMEOUT: Micros = 100_000;

/// An endpoint list, or changes to one, that the sending process has accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedListMessage {
    /// The origin of the list, without its version; `None` if its endpoints are to be merged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    origin: Option<MessageOrigin>,
    /// The list in discovery's encoding.
    list: Value,
}

/// The fields of [`ListOrigin`] that are not part of the list.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct MessageOrigin {
    generation: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    service: Option<SocketAddr>,
}

impl SharedListMessage {
    pub(super) fn encode(list: &SharedList, names: &NameTable) -> SharedListMessage {
        let origin =
            list.origin.map(|ListOrigin { generation, service, .. }| MessageOrigin { generation, service });
        SharedListMessage { origin, list: encode_endpoint_list(&list.update, names) }
    }

    pub(super) fn decode(&self, names: &NameTable) -> Result<SharedList, EndpointListError> {
        let update = parse_endpoint_list(&self.list, names)?;
        let version = update.version;
        let origin = self.origin.map(|MessageOrigin { generation, service }| ListOrigin {
            generation,
            service,
            version,
        });
        Ok(SharedList { origin, update })
    }
}

/// Ends the discovery client of a process that is about to exit, and sends all that discovery has told it to the other
/// process, if there is one, within `LAST_LISTS_TIMEOUT`.
///
/// The connection to discovery is closed first, so that discovery tells this process nothing that it cannot pass on.
pub async fn send_last_lists(relay: &SharedRelay) {
    if relay.borrow().listener_ownership.link.is_none() {
        return;
    }
    let timers = relay.borrow().timers.clone();
    tokio::select! {
        () = stop_discovery_and_flush(relay) => {}
        () = timers.sleep(LAST_LISTS_TIMEOUT) => {}
    }
}

async fn stop_discovery_and_flush(relay: &SharedRelay) {
    let (sender, stopped) = oneshot::channel();
    relay.borrow().send_discovery_command(DiscoveryCommand::Stop(sender));
    // An error is expected: the sender is dropped.
    let _ = stopped.await;
    let (sender, sent) = oneshot::channel();
    if let Some(link) = &relay.borrow().listener_ownership.link {
        let _ = link.commands.send(LinkCommand::Flush(sender));
    }
    // An error means that the link has closed.
    let _ = sent.await;
}

impl Relay {
    /// Returns the endpoint list of this process for a successor.
    pub(super) fn shared_list_message(&self) -> SharedListMessage {
        let list = SharedList { origin: Some(self.list_origin), update: self.listed_endpoints() };
        SharedListMessage::encode(&list, &self.names)
    }

    /// Queues a list that this process has accepted from discovery for the other process, if there is one that
    /// shares its list.
    pub fn share_list(&mut self, scope: ListScope, update: &EndpointListUpdate) {
        let origin = match scope {
            ListScope::Unchanged => return,
            ListScope::Merged => None,
            ListScope::Origin(origin) => Some(origin),
        };
        let link = self.listener_ownership.link.as_mut().filter(|link| link.peer_shares_list);
        let Some(link) = link else { return };
        if link.pending_lists.add(SharedList { origin, update: update.clone() }) {
            let _ = link.commands.send(LinkCommand::SendLists);
        }
    }

    /// Removes and returns the lists that wait to be sent to the other process.
    pub(super) fn take_pending_lists(&mut self) -> Vec<SharedListMessage> {
        let Some(link) = &mut self.listener_ownership.link else { return Vec::new() };
        let names = &self.names;
        link.pending_lists.take().map(|list| SharedListMessage::encode(&list, names)).collect()
    }

    /// Marks endpoints as draining that the predecessor has reported as draining, at the start or with the handover.
    ///
    /// Only a predecessor of an earlier version needs this, because it sends no list. Its report has no version. Once
    /// discovery has answered this process, only endpoints count that the predecessor did not report before, and the
    /// full list is requested to check them.
    pub(super) fn receive_draining(&mut self, draining: &[String]) {
        let has_list = self.has_discovery_answered();
        let Some(link) = self.listener_ownership.link.as_mut().filter(|link| !link.peer_shares_list) else {
            return;
        };
        let reported: BTreeSet<EndpointId> =
            draining.iter().map(|id| EndpointId(id.as_str().into())).collect();
        let before = std::mem::replace(&mut link.peer_draining, reported.clone());
        let is_new = |id: &EndpointId| !has_list || !before.contains(id);
        let started: Vec<EndpointId> = reported.into_iter().filter(is_new).collect();
        let changed = self.maintenance.mark_draining(&started);
        if has_list && !changed.is_empty() {
            self.send_discovery_command(DiscoveryCommand::FetchFullList);
        }
        for endpoint in changed {
            self.apply_maintenance_change(Some(endpoint));
        }
    }

    /// Passes a list of the other process to the discovery client, which decides what of it is accepted.
    ///
    /// # Errors
    /// If the list cannot be decoded.
    pub(in crate::relay) fn receive_shared_list(
        &self, peer: Peer, message: &SharedListMessage,
    ) -> Result<(), EndpointListError> {
        let list = message.decode(&self.names)?;
        self.send_discovery_command(DiscoveryCommand::ReceiveSharedList(peer, list));
        Ok(())
    }
}
