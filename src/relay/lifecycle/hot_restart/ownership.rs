//! Which process of this relay accepts clients, and the link to the other process.

use std::rc::Rc;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::StateDirectory;
use super::message::HotRestartMessage;
use crate::relay::Relay;
use crate::relay::connections::ConnectionTransfer;

/// Descriptors that a process uses beyond those that it counts.
const UNCOUNTED_DESCRIPTORS: usize = 16;

/// A command to the task that runs the link.
#[derive(Debug)]
pub(super) enum LinkCommand {
    /// Send a maintenance change; the sender notifies the command that waits for its confirmation.
    SetMaintenance(HotRestartMessage, oneshot::Sender<()>),
    /// Transfer a connection to the other process.
    Transfer(Box<ConnectionTransfer>),
}

/// The stage of a hot restart, as this process sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RestartStage {
    /// The other process is the successor and is preparing.
    Preparing,
    /// The other process is the successor and accepts clients.
    HandedOver,
    /// This process is the successor and accepts clients; its predecessor still runs.
    TookOver,
}

/// This process's end of the link to the other process.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) commands: UnboundedSender<LinkCommand>,
    pub(super) stage: RestartStage,
    /// The number of descriptors in use that the other process has reported.
    pub(super) peer_descriptors: usize,
}

/// This process's part in the ownership of the relay's listener, which passes from process to process.
#[derive(Debug, Default)]
pub struct ListenerOwnership {
    /// The task that accepts clients; `None` while another process accepts them.
    pub accept_task: Option<AbortHandle>,
    pub(super) directory: Option<Rc<StateDirectory>>,
    pub(super) link: Option<Link>,
    /// The number of maintenance changes so far; the next one is numbered one higher.
    pub(super) changes_sent: u64,
}

impl ListenerOwnership {
    /// Returns how many descriptors of the relay's common limit the predecessor uses; 0 if there is none.
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
    /// Opens this process's end of a link, and returns the receiver of its commands.
    pub(super) fn open_link(&mut self, stage: RestartStage) -> UnboundedReceiver<LinkCommand> {
        let (commands, queue) = unbounded_channel();
        self.listener_ownership.link = Some(Link { commands, stage, peer_descriptors: 0 });
        queue
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
            LinkCommand::SetMaintenance(..) => unreachable!("a connection was sent"),
        })
    }
}
