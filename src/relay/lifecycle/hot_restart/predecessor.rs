//! The successor's side of a hot restart: requests the listening socket from the predecessor, and takes over.

use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_balancer::Micros;
use tokio::net::TcpListener;
use tracing::info;

use super::ownership::RestartStage;
use super::{
    ANSWER_TIMEOUT, HotRestartError, HotRestartMessage, MaintenanceState, SharedListMessage, StateDirectory,
    TakeoverChannel, link,
};
use crate::relay::SharedRelay;
use crate::relay::connections::listener;

/// Time that this process waits for discovery before it takes over with the endpoint list that it has, in
/// microseconds.
const DISCOVERY_TIMEOUT: Micros = 2_500_000;
/// The first message to the running process: what this process handles.
const HELLO: HotRestartMessage =
    HotRestartMessage::Hello { receives_changes: true, receives_used_ids: true, shares_endpoint_list: true };
/// Interval of the checks whether discovery has answered, in microseconds.
const DISCOVERY_CHECK_INTERVAL: Micros = 20_000;

/// The channel to the running process, and the state that it sent.
#[derive(Debug)]
pub struct Predecessor {
    channel: TakeoverChannel,
    maintenance: MaintenanceState,
    draining: Vec<String>,
    endpoint_list: Option<SharedListMessage>,
}

impl Predecessor {
    /// Returns the endpoint list of the predecessor; `None` if it is an earlier version.
    pub fn endpoint_list(&self) -> Option<&SharedListMessage> {
        self.endpoint_list.as_ref()
    }
}

/// Requests the listening socket from the running process of this relay. Returns `None` if no such process
/// runs.
///
/// # Errors
/// If the process does not answer, or does not allow the takeover.
pub async fn connect_to_predecessor(
    directory: &StateDirectory,
) -> Result<Option<(TcpListener, Predecessor)>, HotRestartError> {
    let Some(mut channel) = TakeoverChannel::connect(&directory.socket_path()).await else { return Ok(None) };
    let request = async {
        channel.send(&HELLO, &[]).await.ok()?;
        channel.next().await
    };
    match tokio::time::timeout(Duration::from_micros(ANSWER_TIMEOUT), request).await {
        Ok(Some(HotRestartMessage::State { maintenance, draining, endpoint_list })) => {
            let listener = channel.take_descriptor().ok_or(HotRestartError::NoListener)?;
            let listener = inherit_listener(listener).map_err(HotRestartError::Listener)?;
            Ok(Some((listener, Predecessor { channel, maintenance, draining, endpoint_list })))
        }
        Ok(Some(HotRestartMessage::TakeoverInProgress)) => Err(HotRestartError::TakeoverInProgress),
        // The running process ended after it accepted the connection.
        Ok(None) => Ok(None),
        Ok(Some(_)) => Err(HotRestartError::UnexpectedMessage),
        Err(_) => Err(HotRestartError::NoAnswer),
    }
}

fn inherit_listener(listener: OwnedFd) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::from(listener);
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Restores the predecessor's state, waits for discovery, and takes over accepting clients.
///
/// The link is open from the start, so that a maintenance change made at either process takes effect in both,
/// at whatever stage they are.
pub(super) async fn take_over(
    relay: &SharedRelay, directory: &Rc<StateDirectory>, listener: &Rc<TcpListener>, predecessor: Predecessor,
) -> Result<(), HotRestartError> {
    let Predecessor { channel, maintenance, draining, endpoint_list } = predecessor;
    relay.borrow_mut().restore_maintenance(maintenance);
    let commands = relay.borrow_mut().open_link(RestartStage::TakingOver, true);
    if let Some(link) = &mut relay.borrow_mut().listener_ownership.link {
        link.peer_shares_list = endpoint_list.is_some();
    }
    relay.borrow_mut().receive_draining(&draining);
    tokio::task::spawn_local(link::run(relay.clone(), directory.clone(), None, channel, commands));
    if let Err(error) = wait_for_handover(relay).await {
        // Closes the link, so that the predecessor admits another successor.
        relay.borrow_mut().listener_ownership.link = None;
        return Err(error);
    }
    listener::start_accepting(relay, listener);
    let predecessor_running = relay.borrow().listener_ownership.link.is_some();
    info!(target: "hot_restart", predecessor_running, "took over");
    Ok(())
}

/// Waits until this process may accept clients: discovery has answered or its timeout has passed, and the
/// predecessor has stopped accepting or has ended.
async fn wait_for_handover(relay: &SharedRelay) -> Result<(), HotRestartError> {
    wait_for_discovery(relay).await?;
    let timers = relay.borrow().timers.clone();
    let Some(handed_over) = relay.borrow_mut().request_takeover() else { return Ok(()) };
    tokio::select! {
        // An error means that the predecessor has ended.
        _ = handed_over => Ok(()),
        () = timers.sleep(ANSWER_TIMEOUT) => Err(HotRestartError::NotHandedOver),
    }
}

async fn wait_for_discovery(relay: &SharedRelay) -> Result<(), HotRestartError> {
    let timers = relay.borrow().timers.clone();
    let wait_until = relay.borrow().started_at + DISCOVERY_TIMEOUT;
    while !relay.borrow().has_discovery_answered() && timers.clock.now() < wait_until {
        if relay.borrow().is_shutting_down() {
            return Err(HotRestartError::ShutDown);
        }
        timers.sleep(DISCOVERY_CHECK_INTERVAL).await;
    }
    Ok(())
}
