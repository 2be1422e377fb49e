//! Clients: the door that lets them in, the crowd of those who have not asked yet, their lines, and one study session each.
//!
//! In come connections and bytes; out go plain calls to the hub (a client asks, stands, leaves), and the hub's orders come back
//! to each session by a queue of its own. Nothing here chooses a card server.

mod attempt;
pub mod established;
pub mod graceful_close;
pub mod handshake;
pub mod idle;
pub(in crate::relay) mod listener;
pub mod protocol;

pub use established::{ConnectionSnapshot, ConnectionTransfer, restore_connection};
