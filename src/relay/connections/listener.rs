//! The door: the listener, and letting connections in.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tracing::error;

use super::connection;
use crate::relay::{DescriptorPermit, SharedRelay};

/// Pause after a failed accept: out of descriptors or memory, which passes as sessions end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Pause until somebody who was turned out has given the descriptor back.
const ROOM_PAUSE: Duration = Duration::from_millis(1);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Listens for clients.
pub fn bind(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A relay that was killed comes back to the same address while old connections still fade.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Lets connections in from now on.
pub fn start_accepting(relay: &SharedRelay, listener: &Rc<TcpListener>) {
    let task = tokio::task::spawn_local(accept(relay.clone(), listener.clone()));
    relay.borrow_mut().listener_ownership.accept_task = Some(task.abort_handle());
}

/// Lets nobody in any more. What was let in goes on.
pub fn stop_accepting(relay: &SharedRelay) {
    if let Some(task) = relay.borrow_mut().listener_ownership.accept_task.take() {
        task.abort();
    }
}

async fn accept(relay: SharedRelay, listener: Rc<TcpListener>) {
    let (descriptors, crowd) =
        (relay.borrow().descriptors_in_use.clone(), relay.borrow().idle_connections.clone());
    let mut trouble = false;
    loop {
        if !relay.borrow().make_room_for_idle_connection() {
            tokio::time::sleep(ROOM_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((client, _)) => {
                trouble = false;
                let held = DescriptorPermit::new(&descriptors);
                crowd.admit(|place| connection::serve(relay.clone(), client, held, place));
                // Guards against letting in a whole crowd before the first of them could say what it wants: it
                // would be turned out as the oldest.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                // Guards against ending for want of descriptors (EMFILE), and against a line for each try.
                if !std::mem::replace(&mut trouble, true) {
                    error!(target: "relay", why = %e, "cannot accept");
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
