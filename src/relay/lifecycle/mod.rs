//! The process's life: its configuration and reloads, graceful shutdown, hot restart, and operators' commands.
//!
//! Signals, files and another process are the input; calls to the [`Relay`](crate::relay::Relay) are the output.
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod admin_service;
pub mod config;
pub mod graceful_shutdown;
pub mod hot_restart;
pub mod reload;
pub mod signals;
