//! Errors that end a lease server.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use honeyknot_lease_consensus::{ReplicaError, ReplicaId};
use thiserror::Error;

use super::storage::StorageError;

/// Why a lease server did not start or stopped.
#[derive(Debug, Error)]
pub enum LeaseServerError {
    /// The runtime or the signal handler did not start.
    #[error(transparent)]
    Runtime(io::Error),
    /// The configuration has no server with this number.
    #[error(
        "the configuration has no lease server {number}; its {server_count} lease servers are numbered from 1"
    )]
    UnknownNumber {
        /// The number that was given.
        number: ReplicaId,
        /// Number of servers in the configuration.
        server_count: u64,
    },
    /// The listening address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The database cannot be opened or written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The stored state cannot be used.
    #[error("cannot use the state in {}: {source}", folder.display())]
    InvalidState {
        /// Folder of the database.
        folder: PathBuf,
        /// The cause.
        source: ReplicaError,
    },
    /// The replica cannot continue.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
}
