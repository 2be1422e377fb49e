//! Client connections, from being accepted until they are closed or transferred.
//!
//! The task of a connection reports its request, establishment and end to the [`Relay`](crate::relay::Relay),
//! and receives commands on its own queue. Endpoints are chosen by the balancer, never in this module.
//!
//! - `listener` accepts connections; `idle` tracks those without a request and evicts them in order;
//! - `connection` contains the state machine of one connection and its table of transitions;
//! - `handshake` (idle), `opening`, `adoption` and `established` are its states, each of which refers only to
//!   the states that can follow it;
//! - `attempt` makes one attempt at an endpoint; `line_relay` relays lines in both directions;
//! - `graceful_close` ends connections;
//! - `transfer` and `restore` move a connection from one process of the relay to another;
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
