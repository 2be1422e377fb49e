//! Which process of this relay accepts clients, and the link to the other process.

use std::collections::BTreeSet;
use std::rc::Rc;

use honeyknot_balancer::EndpointId;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::message::HotRestartMessage;
use super::pending_lists::PendingLists;
use super::{MaintenanceState, StateDirectory};
use crate::relay::Relay;
use crate::relay::connections::ConnectionTransfer;
use crate::relay::counter::{Counter, CounterGuard};
use crate::relay::notice::Notice;
use crate::relay::used_ids::ConnectionIdHash;

/// Descriptors that a process uses beyond those that it counts.
const UNCOUNTED_DESCRIPTORS: usize = 16;

/// Maximum number of single used ids that wait to be sent.
const MAX_QUEUED_USED_IDS: usize = 4_096;
/// Number of used ids in one message.
const USED_IDS_PER_MESSAGE: usize = 1_024;

/// A command to the task that runs the link. Commands are executed in order.
#[derive(Debug)]
pub(super) enum LinkCommand {
    /// Send a message.
    Send(HotRestartMessage),
    /// Send a used id, which is counted until it has been sent.
    SendUsedId(ConnectionIdHash, CounterGuard),
    /// Transfer a connection to the other process.
    Transfer(Box<ConnectionTransfer>),
    /// Send the lists that wait in [`Link::pending_lists`].
    SendLists,
    /// Report that all commands before this one have been executed.
    Flush(oneshot::Sender<()>),
}

/// The stage of a hot restart, as this process sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RestartStage {
    /// The other process is the successor and is preparing.
    Preparing,
    /// The other process is the successor and accepts clients.
    HandedOver,
    /// This process is the successor and is preparing; its predecessor accepts clients.
    TakingOver,
    /// This process is the successor and accepts clients; its predecessor still runs.
    TookOver,
}

impl RestartStage {
    /// Returns whether this process is the successor.
    fn is_successor(self) -> bool {
        matches!(self, RestartStage::TakingOver | RestartStage::TookOver)
    }
}

/// A maintenance change made in this process that the other process has not confirmed yet.
#[derive(Debug)]
pub(super) struct UnconfirmedChange {
    pub(super) number: u64,
    pub(super) endpoint: EndpointId,
    /// Notifies the admin command that waits for the confirmation.
    pub(super) confirmed: oneshot::Sender<()>,
}

/// This process's end of the link to the other process.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) commands: UnboundedSender<LinkCommand>,
    pub(super) stage: RestartStage,
    /// Whether the other process handles maintenance changes now. A successor of an earlier version does not
    /// before it has taken over.
    pub(super) peer_receives_changes: bool,
    /// Whether the other process is told the ids of requests that must not run again.
    pub(super) peer_receives_used_ids: bool,
    /// Whether the other process shares its endpoint list, and receives that of this process.
    pub(super) peer_shares_list: bool,
    /// Endpoints that the other process, a predecessor that does not share its list, last reported as draining.
    pub(super) peer_draining: BTreeSet<EndpointId>,
    /// Endpoint lists that wait to be sent.
    pub(super) pending_lists: PendingLists,
    /// Number of single used ids that are queued.
    pub(super) queued_used_ids: Counter,
    /// Maintenance changes that the other process has not confirmed yet.
    pub(super) unconfirmed: Vec<UnconfirmedChange>,
    /// In a successor that has requested the takeover: notified when the predecessor has handed over.
    pub(super) handed_over: Option<oneshot::Sender<()>>,
    /// The number of descriptors in use that the other process has reported.
    pub(super) peer_descriptors: usize,
}

impl Link {
    /// Queues a message to the other process. The message is lost if the link is closing.
    pub(super) fn send(&self, message: HotRestartMessage) {
        let _ = self.commands.send(LinkCommand::Send(message));
    }

    /// Queues all used ids, at least one message, which tells the other process that this one handles them too.
    fn send_used_ids(&self, ids: &[ConnectionIdHash]) {
        self.send(HotRestartMessage::UsedIds { ids: Vec::new() });
        for ids in ids.chunks(USED_IDS_PER_MESSAGE) {
            self.send(HotRestartMessage::UsedIds { ids: ids.to_vec() });
        }
    }

    /// Returns whether this process keeps its own change of an endpoint's maintenance when the other process
    /// sends another state of it.
    ///
    /// Both processes must end with the same state when operators send commands to both at once. The order in
    /// which the predecessor applies the changes is the valid one. It confirms a change after it has sent all
    /// changes that precede it. So what arrives at the successor before the confirmation of its own change
    /// precedes that change.
    pub(super) fn keeps_own_change(&self, endpoint: &EndpointId) -> bool {
        self.stage.is_successor() && self.unconfirmed.iter().any(|change| change.endpoint == *endpoint)
    }
}

/// This process's part in the ownership of the relay's listener, which passes from process to process.
#[derive(Debug, Default)]
pub struct ListenerOwnership {
    /// The task that accepts clients; `None` while another process accepts them.
    pub accept_task: Option<AbortHandle>,
    pub(super) directory: Option<Rc<StateDirectory>>,
    pub(super) link: Option<Link>,
    /// Given when this process must end: connections that are still to be sent are then migrated.
    pub(in crate::relay) transfers_end: Notice,
    /// The number of maintenance changes so far; the next one is numbered one higher.
    pub(super) changes_sent: u64,
}

impl ListenerOwnership {
    /// Returns how many descriptors of the relay's common limit the predecessor uses; 0 if there is none.
    pub fn predecessor_descriptors(&self) -> usize {
        let predecessor = self.link.as_ref().filter(|link| link.stage == RestartStage::TookOver);
        predecessor.map_or(0, |link| link.peer_descriptors + UNCOUNTED_DESCRIPTORS)
    }

    /// Tells the other process, if there is one, that a request which must not run again has been sent.
    ///
    /// An id is dropped while the other process hangs and `MAX_QUEUED_USED_IDS` wait for it already.
    pub fn send_used_id(&self, id: ConnectionIdHash) {
        let link = self.link.as_ref().filter(|link| link.peer_receives_used_ids);
        let Some(link) = link.filter(|link| link.queued_used_ids.get() < MAX_QUEUED_USED_IDS) else { return };
        let _ = link.commands.send(LinkCommand::SendUsedId(id, link.queued_used_ids.add_one()));
    }

    /// Returns whether another process of this relay accepts its clients.
    pub fn handed_over(&self) -> bool {
        self.link.as_ref().is_some_and(|link| link.stage == RestartStage::HandedOver)
    }
}

impl Relay {
    /// Opens this process's end of a link, and returns the receiver of its commands.
    pub(super) fn open_link(
        &mut self, stage: RestartStage, peer_receives_changes: bool,
    ) -> UnboundedReceiver<LinkCommand> {
        let (commands, queue) = unbounded_channel();
        self.listener_ownership.link = Some(Link {
            commands,
            stage,
            peer_receives_changes,
            peer_receives_used_ids: false,
            peer_shares_list: false,
            peer_draining: BTreeSet::new(),
            pending_lists: PendingLists::default(),
            queued_used_ids: Counter::default(),
            unconfirmed: Vec::new(),
            handed_over: None,
            peer_descriptors: 0,
        });
        queue
    }

    /// Asks the predecessor to stop accepting clients. Returns a receiver that is notified when it has, or
    /// `None` if the predecessor has ended.
    pub(super) fn request_takeover(&mut self) -> Option<oneshot::Receiver<()>> {
        let link = self.listener_ownership.link.as_mut()?;
        let (sender, handed_over) = oneshot::channel();
        link.handed_over = Some(sender);
        link.send(HotRestartMessage::TakeOver);
        Some(handed_over)
    }

    /// Marks the successor as the process that accepts clients, and sends it the current state.
    pub(super) fn hand_over(&mut self) {
        let (maintenance, draining) = (self.maintenance_state(), self.draining_endpoints());
        let descriptors = self.descriptors_in_use.get();
        let used_ids = self.connection_ids.used();
        let Some(link) = &mut self.listener_ownership.link else { return };
        let draining = if link.peer_receives_changes { draining } else { Vec::new() };
        link.stage = RestartStage::HandedOver;
        link.peer_receives_changes = true;
        if link.peer_receives_used_ids {
            link.send_used_ids(&used_ids);
        }
        link.send(HotRestartMessage::HandedOver { maintenance, draining });
        link.send(HotRestartMessage::DescriptorsInUse { descriptors });
    }

    /// Restores the state that the predecessor has sent with the handover.
    pub(super) fn complete_takeover(&mut self, maintenance: MaintenanceState, draining: &[String]) {
        self.restore_maintenance(maintenance);
        self.receive_draining(draining);
        let Some(link) = &mut self.listener_ownership.link else { return };
        link.stage = RestartStage::TookOver;
        if let Some(handed_over) = link.handed_over.take() {
            let _ = handed_over.send(());
        }
    }

    /// Transfers a connection to the process that accepts clients.
    ///
    /// # Errors
    /// Returns the connection if no other process accepts clients.
    pub fn transfer_connection(
        &mut self, transfer: ConnectionTransfer,
    ) -> Result<(), Box<ConnectionTransfer>> {
        let link = self.listener_ownership.link.as_ref();
        let Some(link) = link.filter(|link| link.stage == RestartStage::HandedOver) else {
            return Err(Box::new(transfer));
        };
        link.commands.send(LinkCommand::Transfer(Box::new(transfer))).map_err(|unsent| match unsent.0 {
            LinkCommand::Transfer(transfer) => transfer,
            _ => unreachable!("a connection was sent"),
        })
    }
}
