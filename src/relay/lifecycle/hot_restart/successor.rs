//! The predecessor's side of a hot restart: accepts successors, and sends them the listening socket and the
//! state.

use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tracing::{info, warn};

use super::ownership::{LinkCommand, RestartStage};
use super::{ANSWER_TIMEOUT, HotRestartMessage, StateDirectory, TakeoverChannel, link};
use crate::relay::{Relay, SharedRelay};

/// Accepts successors, one at a time, while the relay runs.
pub(super) async fn listen_for_successors(
    relay: SharedRelay, directory: Rc<StateDirectory>, listener: Rc<TcpListener>,
) {
    match directory.bind_socket() {
        Ok(socket) => accept_successors(relay, directory, listener, socket).await,
        Err(error) => {
            warn!(target: "hot_restart", %error, "hot restart unavailable");
            std::future::pending().await
        }
    }
}

/// Accepts successors again after a successor has ended.
pub(super) fn listen_for_successors_again(
    relay: SharedRelay, directory: Rc<StateDirectory>, listener: Rc<TcpListener>,
) {
    match directory.bind_socket() {
        Ok(socket) => {
            // Boxed because the future is recursive: accepting a successor runs a link, which calls this
            // function at its end.
            let accepting: Pin<Box<dyn Future<Output = ()>>> =
                Box::pin(accept_successors(relay, directory, listener, socket));
            drop(tokio::task::spawn_local(accepting));
        }
        Err(error) => warn!(target: "hot_restart", %error, "hot restart unavailable"),
    }
}

async fn accept_successors(
    relay: SharedRelay, directory: Rc<StateDirectory>, listener: Rc<TcpListener>, socket: UnixListener,
) {
    let timers = relay.borrow().timers.clone();
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            timers.sleep(ANSWER_TIMEOUT).await;
            continue;
        };
        let Some((mut channel, abilities)) = receive_hello(stream).await else { continue };
        if relay.borrow().listener_ownership.link.is_some() {
            let _ = channel.send(&HotRestartMessage::TakeoverInProgress, &[]).await;
            continue;
        }
        let commands = relay.borrow_mut().open_link(RestartStage::Preparing, abilities.receives_changes);
        if let Some(link) = &mut relay.borrow_mut().listener_ownership.link {
            link.peer_receives_used_ids = abilities.receives_used_ids;
            link.peer_shares_list = abilities.shares_list;
        }
        let (directory, listener) = (directory.clone(), listener.clone());
        tokio::task::spawn_local(hand_over(relay.clone(), directory, listener, channel, commands));
    }
}

/// What a successor has announced that it handles.
#[derive(Clone, Copy, Debug)]
struct SuccessorAbilities {
    /// Maintenance changes while it prepares.
    receives_changes: bool,
    /// Ids of requests that must not run again.
    receives_used_ids: bool,
    /// Endpoint lists; it sends its own, too.
    shares_list: bool,
}

/// Returns the channel to a process that requests the listening socket, and what it handles; `None` if it does not
/// send its request in time.
async fn receive_hello(stream: UnixStream) -> Option<(TakeoverChannel, SuccessorAbilities)> {
    let mut channel = TakeoverChannel::new(stream);
    let first = tokio::time::timeout(Duration::from_micros(ANSWER_TIMEOUT), channel.next()).await;
    match first {
        Ok(Some(HotRestartMessage::Hello { receives_changes, receives_used_ids, shares_endpoint_list })) => {
            let shares_list = shares_endpoint_list;
            Some((channel, SuccessorAbilities { receives_changes, receives_used_ids, shares_list }))
        }
        _ => None,
    }
}

async fn hand_over(
    relay: SharedRelay, directory: Rc<StateDirectory>, listener: Rc<TcpListener>,
    mut channel: TakeoverChannel, commands: UnboundedReceiver<LinkCommand>,
) {
    info!(target: "hot_restart", "successor connected");
    let state = relay.borrow().takeover_state();
    if channel.send(&state, &[listener.as_fd()]).await.is_ok() {
        link::run(relay, directory, Some(listener), channel, commands).await;
    } else {
        relay.borrow_mut().listener_ownership.link = None;
    }
}

impl Relay {
    /// Returns the state that a successor starts with.
    fn takeover_state(&self) -> HotRestartMessage {
        let link = self.listener_ownership.link.as_ref();
        let shares_list = link.is_some_and(|link| link.peer_shares_list);
        HotRestartMessage::State {
            maintenance: self.maintenance_state(),
            draining: self.draining_endpoints(),
            endpoint_list: shares_list.then(|| self.shared_list_message()),
        }
    }
}
