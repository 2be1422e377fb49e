//! The listener for clients and its accept loop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tracing::error;

use super::connection;
use crate::relay::{DescriptorPermit, SharedRelay};

/// Pause after a failed accept: out of descriptors or memory, which passes as connections end.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Pause until an evicted connection has given its descriptor back.
const EVICTION_INTERVAL: Duration = Duration::from_millis(1);
/// Number of connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Listens at an address.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(in crate::relay) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A relay that was killed binds the same address again while its old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Starts the accept loop.
pub(in crate::relay) fn start_accepting(relay: &SharedRelay, listener: &Rc<TcpListener>) {
    let task = tokio::task::spawn_local(accept_loop(relay.clone(), listener.clone()));
    relay.borrow_mut().listener_ownership.accept_task = Some(task.abort_handle());
}

/// Stops the accept loop; accepted connections continue.
pub(in crate::relay) fn stop_accepting(relay: &SharedRelay) {
    if let Some(task) = relay.borrow_mut().listener_ownership.accept_task.take() {
        task.abort();
    }
}

async fn accept_loop(relay: SharedRelay, listener: Rc<TcpListener>) {
    let descriptors = relay.borrow().descriptors_in_use.clone();
    let idle_connections = relay.borrow().idle_connections.clone();
    let mut failing = false;
    loop {
        if !relay.borrow().make_room_for_idle_connection() {
            tokio::time::sleep(EVICTION_INTERVAL).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                failing = false;
                let permit = DescriptorPermit::new(&descriptors);
                idle_connections.admit(|slot| connection::serve(relay.clone(), stream, permit, slot));
                // Lets the connection read its request before the next one is accepted: after a burst of accepts it
                // would be evicted as the oldest.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                // Neither ends the loop for want of descriptors (EMFILE), nor logs every attempt.
                if !std::mem::replace(&mut failing, true) {
                    error!(target: "relay", %error, "accept failed");
                }
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}
