//! The listener for clients and its accept loop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tracing::error;

use super::connection;
use crate::relay::{DescriptorPermit, SharedRelay};

/// Pause after a failed accept, usually for lack of descriptors or memory, which connections release as they
/// end.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Pause until an evicted connection has released its descriptor.
const EVICTION_INTERVAL: Duration = Duration::from_millis(1);
/// Size of the kernel's buffer for unread bytes of a client, in bytes, which bounds what a client can have
/// unread when it leaves and the memory that it takes.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Opens a listener on an address.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(in crate::relay) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Lets a relay that is restarted bind its address while its old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    // Without this option, the kernel's larger default applies.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Starts the accept loop.
pub(in crate::relay) fn start_accepting(relay: &SharedRelay, listener: &Rc<TcpListener>) {
    let task = tokio::task::spawn_local(accept_loop(relay.clone(), listener.clone()));
    relay.borrow_mut().listener_ownership.accept_task = Some(task.abort_handle());
}

/// Stops the accept loop; accepted connections are not affected.
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
                // Lets the new connection read its request before the next one is accepted. Otherwise, during
                // a burst of connections, it could be evicted as the oldest before its request is read.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                // Errors such as EMFILE are temporary, so the loop continues; only the first in a row is
                // logged.
                if !std::mem::replace(&mut failing, true) {
                    error!(target: "relay", %error, "cannot accept a client connection, retrying");
                }
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}
