#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]
//! `honeyknot-relay lease-server`: one replica of the lease service with its storage and connections.
//!
//! One task owns the [`honeyknot_lease_consensus::Replica`]. It receives peer messages and client requests
//! from a queue and ticks from a timer. Each write is durable before any message or response that depends on
//! it is sent. The replica decides who holds a lease; a relay can serve connections without any lease server.
//! Memory is bounded by the lease table, the log in memory and the connections ([`MAX_CONNECTIONS`], with
//! [`QUEUE_CAPACITY`] frames each).

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
