//! The process: its configuration, read once and again, its planned end, and one process that takes over from another.
//!
//! In come signals, files and the other process; out go calls to the hub.

pub mod config;
pub mod handover;
mod operators;
pub mod reload;
pub mod shutdown;
