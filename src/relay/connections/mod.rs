//! Connections of clients: accepted, idle, opened at an endpoint, established, and closed or transferred.
//!
//! Connections and bytes come in; calls to the relay's owner go out (a request, an established connection, an end), and
//! its commands come back to each connection by a queue of its own. Nothing here chooses an endpoint.
//!
//! [`connection`] is the state machine. Its states are in [`handshake`] (idle), [`opening`] and [`attempt`],
//! [`adoption`], and [`established`] with [`line_relay`]; each state knows those that follow it and none before it.

#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod admission;
mod adoption;
mod attempt;
mod client_stream;
mod connection;
mod connection_guard;
mod downstream_buffer;
mod established;
pub mod graceful_close;
mod handshake;
pub mod idle;
mod line_relay;
pub(in crate::relay) mod listener;
mod opening;
pub mod protocol;
mod restore;
mod silence_detector;
mod transfer;

pub use restore::restore_connection;
pub use transfer::{ConnectionSnapshot, ConnectionTransfer};
