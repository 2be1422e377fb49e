//! Connections of clients: accepted, idle, opened at an endpoint, established, and closed or transferred.
//!
//! Connections and bytes come in; calls to the relay's owner go out (a request, an established connection, an end), and
//! its commands come back to each connection by a queue of its own. Nothing here chooses an endpoint.
//!
//! - `listener` accepts connections; `idle` limits those without a request and evicts them in order;
//! - `connection` is the state machine of one connection, with its table of transitions;
//! - `handshake` (idle), `opening`, `adoption` and `established` are its states: each knows those that follow it only;
//! - `attempt` makes one attempt at an endpoint, `line_relay` relays lines both ways;
//! - `transfer` and `restore` take a connection from one process of the relay to another;
//! - `protocol` parses and encodes the line protocol.

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
mod metric_labels;
mod opening;
pub mod protocol;
mod restore;
mod silence_detector;
mod streams;
mod transfer;

pub use restore::restore_connection;
pub use transfer::{ConnectionSnapshot, ConnectionTransfer};
