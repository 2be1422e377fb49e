//! The admin address, where operators send commands. A connection carries one command and its answer.
//!
//! [`command`] parses commands, [`server`] accepts connections, and an [`AdminService`] executes the
//! commands. [`client`] sends commands from the command line.

#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

pub mod client;
pub mod command;
pub mod server;
mod service;

pub use service::AdminService;
