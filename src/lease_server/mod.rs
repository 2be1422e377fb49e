#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]
//! `honeyknot-relay lease-server`: one replica of the lease service with its storage and connections.
//!
//! One task owns the [`honeyknot_lease_consensus::Replica`]. Peer messages and client requests reach it by a queue, ticks by a
//! timer; every write is durable before anything that follows from it is sent. Who holds a lease is decided by the replica, and no
//! relay needs a lease server to serve. Memory is bounded by the lease table, the log in memory and the connections
//! ([`MAX_CONNECTIONS`], with [`QUEUE_CAPACITY`] frames each).

mod connections;
mod error;
mod event;
mod event_loop;
mod known_databases;
mod options;
mod peer_sender;
mod server;
pub mod storage;

pub use connections::MAX_CONNECTIONS;
pub use error::LeaseServerError;
pub use event::QUEUE_CAPACITY;
pub use options::LeaseServerOptions;
pub use server::{serve, serve_with_clock};
