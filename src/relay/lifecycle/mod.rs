//! The process: its configuration, read once and again, its planned end, and one process that takes over from another.
//!
//! In come signals, files and the other process; out go calls to the hub.

mod admin_service;
pub mod config;
pub mod graceful_shutdown;
pub mod hot_restart;
pub mod reload;
pub mod signals;
