//! Hot restart: a new process of a relay, the successor, takes over the listener, the connections and the
//! maintenance state of the running process, its predecessor.
//!
//! The running process listens on a Unix socket in a [`StateDirectory`], which only its user may enter. A
//! successor connects there, receives the listening socket, prepares, and takes over: the predecessor stops
//! accepting clients before the successor starts to. The link between the two is open from the start until one of
//! them ends, so that each notices when the other ends, and a maintenance change made at one takes effect in both.
//!
//! At any stage, a maintenance change that has been confirmed to an operator is in effect in both processes until
//! the opposite change is made in either of them.
//!
//! Both processes poll discovery, and each reports every endpoint list that it accepts to the other one, so that both
//! are notified of what either has been told. Which of two lists counts is decided in
//! [`honeyknot_discovery::shared_list`].

mod error;
mod link;
mod maintenance;
mod maintenance_state;
mod message;
mod ownership;
mod pending_lists;
mod predecessor;
mod shared_list;
mod state_directory;
mod successor;
mod takeover_channel;

use std::rc::Rc;

use honeyknot_balancer::Micros;
use tokio::net::TcpListener;

use crate::relay::SharedRelay;
use crate::relay::connections::listener;
pub use error::{HotRestartError, SetMaintenanceError, StateDirectoryError};
pub use maintenance::{MaintenanceChange, set_maintenance};
pub use maintenance_state::{EndedMaintenance, MaintenanceFileError, MaintenanceState, OngoingMaintenance};
pub use message::HotRestartMessage;
pub use ownership::ListenerOwnership;
pub use predecessor::{Predecessor, connect_to_predecessor};
pub use shared_list::{SharedListMessage, send_last_lists};
pub use state_directory::{StateDirectory, open_state_directory};
use takeover_channel::TakeoverChannel;

/// Timeout of another process's answer, in microseconds.
const ANSWER_TIMEOUT: Micros = 1_000_000;

/// Takes over from the predecessor if there is one, accepts clients, and waits for successors.
///
/// # Errors
/// If this process cannot take over; the predecessor then keeps accepting clients.
pub async fn run(
    relay: SharedRelay, directory: Rc<StateDirectory>, listener: Rc<TcpListener>,
    predecessor: Option<Predecessor>,
) -> Result<(), HotRestartError> {
    relay.borrow_mut().listener_ownership.directory = Some(directory.clone());
    match predecessor {
        None => {
            let saved = directory.load_maintenance();
            relay.borrow_mut().restore_maintenance(saved);
            listener::start_accepting(&relay, &listener);
        }
        Some(predecessor) => predecessor::take_over(&relay, &directory, &listener, predecessor).await?,
    }
    successor::listen_for_successors(relay, directory, listener).await;
    Ok(())
}
