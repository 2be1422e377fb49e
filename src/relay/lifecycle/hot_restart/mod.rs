//! Hot restart: a new process of a relay takes over its listener, connections and maintenance state from the
//! old one.
//!
//! The process that serves offers a Unix socket in a [`StateDirectory`] that only its user may enter. A
//! successor asks there for the listening descriptor, prepares, and takes over: the predecessor stops
//! accepting before the successor starts. The link between the two then stays open, so that each notices the
//! other's end, and an operator's change of maintenance at one holds at both.

mod error;
mod link;
mod maintenance;
mod maintenance_state;
mod message;
mod ownership;
mod predecessor;
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
pub use state_directory::{StateDirectory, open_state_directory};
use takeover_channel::TakeoverChannel;

/// How long another process may take to answer.
const ANSWER_TIMEOUT: Micros = 1_000_000;

/// Takes over from a predecessor if there is one, accepts clients, and offers the relay to the next process.
///
/// # Errors
/// If this process cannot take over; the predecessor then serves on.
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
