//! The lifecycle of a relay's process: configuration and reloads, graceful shutdown, hot restart and admin
//! commands.
//!
//! The modules react to signals, files and the relay's other process, and call the
//! [`Relay`](crate::relay::Relay).
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod admin_service;
pub mod config;
pub mod graceful_shutdown;
pub mod hot_restart;
pub mod reload;
pub mod signals;
