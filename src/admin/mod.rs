//! The admin address: each connection sends one command, gets one answer and is closed.
//!
//! It decides nothing and counts nothing: [`command`] parses commands, [`server`] accepts connections, and an
//! [`AdminService`] carries the commands out. [`client`] is the other side, for the command line.

#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

pub mod client;
pub mod command;
pub mod server;
mod service;

pub use service::AdminService;
