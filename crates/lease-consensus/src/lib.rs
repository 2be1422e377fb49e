#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]
//! One replica of the lease service, without I/O: raft with the lease table as its state machine.
//!
//! A [`Replica`] takes ticks, [`PeerMessage`]s and [`ClientRequest`]s with the current time. It returns what
//! must be persisted as a [`ReplicaWrite`] and, once that is durable, messages and responses as
//! [`ReplicaAction`]s. A replica opens no file or socket, reads no clock and draws no random numbers, so the
//! same events give the same actions. The choice of the engine and the guarantees are in
//! `docs/design/leases.md`.

mod client;
mod error;
mod log;
mod peer_message;
mod persisted_state;
mod raft_types;
mod replica;
mod settings;

pub use client::{ClientRequest, LeaseView, Response};
pub use error::{ReplicaError, StateError, StoredItem};
pub use honeyknot_lease::Micros;
pub use peer_message::PeerMessage;
pub use persisted_state::{PersistedState, ReplicaWrite};
pub use raft_types::{Entry, HardState, Snapshot};
pub use replica::{Replica, ReplicaAction};
pub use settings::ReplicaSettings;

/// Number of a replica, from 1.
pub type ReplicaId = u64;
