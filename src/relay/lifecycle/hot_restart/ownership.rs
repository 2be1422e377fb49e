//! Which process of this relay accepts clients, and the link to the other one.

use std::rc::Rc;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::StateDirectory;
use super::message::HotRestartMessage;
use crate::relay::Relay;
use crate::relay::connections::ConnectionTransfer;

/// Descriptors that a process holds beyond those it counts.
const UNCOUNTED_DESCRIPTORS: usize = 16;

/// What is sent to the other process.
#[derive(Debug)]
pub(super) enum LinkCommand {
    /// A maintenance change, and who waits until it holds there.
    SetMaintenance(HotRestartMessage, oneshot::Sender<()>),
    /// A connection that goes on there.
    Transfer(Box<ConnectionTransfer>),
}

/// How far a hot restart is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RestartStage {
    /// The other process is the successor and gets ready.
    Preparing,
    /// The other process is the successor and accepts clients.
    HandedOver,
    /// This process is the successor, and its predecessor still runs.
    TookOver,
}

/// This process's end of the link to the other one.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) commands: UnboundedSender<LinkCommand>,
    pub(super) stage: RestartStage,
    /// Descriptors that the other process holds.
    pub(super) peer_descriptors: usize,
}

/// What this process holds of the relay that outlives processes.
#[derive(Debug, Default)]
pub struct ListenerOwnership {
    /// The task that accepts clients.
    pub accept_task: Option<AbortHandle>,
    pub(super) directory: Option<Rc<StateDirectory>>,
    pub(super) link: Option<Link>,
    /// Maintenance changes that were sent to another process.
    pub(super) changes_sent: u64,
}

impl ListenerOwnership {
    /// Returns how many descriptors of the common limit are the predecessor's.
    pub fn predecessor_descriptors(&self) -> usize {
        let predecessor = self.link.as_ref().filter(|link| link.stage == RestartStage::TookOver);
        predecessor.map_or(0, |link| link.peer_descriptors + UNCOUNTED_DESCRIPTORS)
    }

    /// Returns whether another process of this relay accepts its clients.
    pub fn handed_over(&self) -> bool {
        self.link.as_ref().is_some_and(|link| link.stage == RestartStage::HandedOver)
    }
}

impl Relay {
    /// Opens this process's end of a link, and returns the queue of what is to be sent.
    pub(super) fn open_link(&mut self, stage: RestartStage) -> UnboundedReceiver<LinkCommand> {
        let (commands, queue) = unbounded_channel();
        self.listener_ownership.link = Some(Link { commands, stage, peer_descriptors: 0 });
        queue
    }

    /// Transfers a connection to the process that accepts clients.
    ///
    /// # Errors
    /// If there is no such process: the connection.
    pub fn transfer_connection(
        &mut self, transfer: ConnectionTransfer,
    ) -> Result<(), Box<ConnectionTransfer>> {
        let link = self.listener_ownership.link.as_ref();
        let Some(link) = link.filter(|link| link.stage == RestartStage::HandedOver) else {
            return Err(Box::new(transfer));
        };
        link.commands.send(LinkCommand::Transfer(Box::new(transfer))).map_err(|unsent| match unsent.0 {
            LinkCommand::Transfer(transfer) => transfer,
            LinkCommand::SetMaintenance(..) => unreachable!("a connection was sent"),
        })
    }
}
