#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]
//! The client side of the lease service: configuration, wire protocol, client and admin commands.
//!
//! [`honeyknot_lease::LeaseClient`] decides when to request what; this module does the I/O. Clients do not
//! vote, and a relay can serve connections without the lease service.

pub mod admin_commands;
pub mod client;
mod clock;
pub mod codec;
pub mod config;
mod connection;
pub mod frame;
pub mod greeting;
pub mod handshake;
pub mod leader_request;
mod request_loop;

pub use clock::{Clock, boot_clock};
