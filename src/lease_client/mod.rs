#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]
//! The clients' side of the lease service: its configuration, wire protocol, client and admin commands.
//!
//! When to request what is decided by [`honeyknot_lease::LeaseClient`]; this module does the I/O. Nothing here votes, and no
//! relay needs it to serve.

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
