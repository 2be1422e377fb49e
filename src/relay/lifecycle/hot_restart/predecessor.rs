//! The successor's part: asks the process that serves for its listener, and takes over.

use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_balancer::Micros;
use tokio::net::TcpListener;
use tracing::info;

use super::ownership::RestartStage;
use super::{
    ANSWER_TIMEOUT, HotRestartError, HotRestartMessage, MaintenanceState, StateDirectory, TakeoverChannel,
    link,
};
use crate::relay::SharedRelay;
use crate::relay::connections::listener;

/// How long discovery is waited for before this process takes over with the endpoint list that it has.
const DISCOVERY_TIMEOUT: Micros = 2_500_000;
/// Interval at which it is checked whether discovery has answered.
const DISCOVERY_CHECK_INTERVAL: Micros = 20_000;

/// The process that has served so far, and the state that it sent.
#[derive(Debug)]
pub struct Predecessor {
    channel: TakeoverChannel,
    maintenance: MaintenanceState,
    draining: Vec<String>,
}

/// Asks the process that serves this relay's clients for its listener; none if no such process runs.
///
/// # Errors
/// If the process does not answer, or does not let this one take over.
pub async fn connect_to_predecessor(
    directory: &StateDirectory,
) -> Result<Option<(TcpListener, Predecessor)>, HotRestartError> {
    let Some(mut channel) = TakeoverChannel::connect(&directory.socket_path()).await else { return Ok(None) };
    let request = async {
        channel.send(&HotRestartMessage::Hello, &[]).await.ok()?;
        channel.next().await
    };
    match tokio::time::timeout(Duration::from_micros(ANSWER_TIMEOUT), request).await {
        Ok(Some(HotRestartMessage::State { maintenance, draining })) => {
            let listener = channel.take_descriptor().ok_or(HotRestartError::NoListener)?;
            let listener = inherit_listener(listener).map_err(HotRestartError::Listener)?;
            Ok(Some((listener, Predecessor { channel, maintenance, draining })))
        }
        Ok(Some(HotRestartMessage::TakeoverInProgress)) => Err(HotRestartError::TakeoverInProgress),
        // The process has just ended.
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

/// Takes over once this process can serve, and accepts clients.
pub(super) async fn take_over(
    relay: &SharedRelay, directory: &Rc<StateDirectory>, listener: &Rc<TcpListener>, predecessor: Predecessor,
) -> Result<(), HotRestartError> {
    let Predecessor { mut channel, maintenance, draining } = predecessor;
    let timers = relay.borrow().timers.clone();
    relay.borrow_mut().restore_maintenance(maintenance);
    relay.borrow_mut().mark_draining(&draining);
    wait_for_discovery(relay).await?;
    let maintenance = tokio::select! {
        maintenance = request_takeover(&mut channel) => maintenance,
        () = timers.sleep(ANSWER_TIMEOUT) => return Err(HotRestartError::NotHandedOver),
    };
    if let Some(maintenance) = maintenance {
        relay.borrow_mut().restore_maintenance(maintenance);
        let commands = relay.borrow_mut().open_link(RestartStage::TookOver);
        tokio::task::spawn_local(link::run(relay.clone(), directory.clone(), None, channel, commands));
    }
    listener::start_accepting(relay, listener);
    let predecessor_running = relay.borrow().listener_ownership.link.is_some();
    info!(target: "hot_restart", predecessor_running, "took over");
    Ok(())
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

/// Has the predecessor stop accepting, and returns its maintenance state; none if it has ended.
async fn request_takeover(channel: &mut TakeoverChannel) -> Option<MaintenanceState> {
    channel.send(&HotRestartMessage::TakeOver, &[]).await.ok()?;
    loop {
        match channel.next().await? {
            HotRestartMessage::HandedOver { maintenance } => return Some(maintenance),
            // Changes made meanwhile are part of the state that comes with the handover.
            HotRestartMessage::SetMaintenance { number, .. } => {
                channel.send(&HotRestartMessage::Confirmed { number }, &[]).await.ok()?
            }
            _ => {}
        }
    }
}
