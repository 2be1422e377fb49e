#![forbid(unsafe_code)]
//! One keeper of leases, without I/O: the consensus engine round the lease book and its watchman.
//!
//! Ticks, letters of other keepers and asks go into a [`Replica`] with the time. What has to be on disk comes out as a
//! [`ReplicaWrite`]; once that is there, letters and answers come out as [`ReplicaAction`]s. It opens no file or socket and reads no clock, and the
//! same events give the same actions: there is no chance in it. Why this engine, and what is promised, stands in
//! `docs/design/leases.md`.

mod log;
mod peer_message;
mod replica;

pub use log::{PersistedState, ReplicaWrite};
pub use peer_message::{Entry, HardState, PeerMessage, Snapshot};
pub use replica::{
    ClientRequest, LeaseView, Replica, ReplicaAction, ReplicaError, ReplicaSettings, Response,
};

/// Microseconds.
pub type Micros = honeyknot_lease::Micros;

/// The number of a keeper, from 1.
pub type ReplicaId = u64;
