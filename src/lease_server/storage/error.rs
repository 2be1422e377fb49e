//! Errors of the storage.

use std::io;

use thiserror::Error;

use super::{BoxedError, DatabaseOwner};

/// Why the storage of a lease server cannot be used.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A file operation failed.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// There is no database, and it is not to be created.
    #[error(
        "{path} is not there. If this keeper has never run, found its folder with --found TOKENS_FROM; if it has lost \
         its disk, it must not vote as if it had not: docs/operate/leases.md says what to do"
    )]
    Missing {
        /// The file.
        path: String,
    },
    /// The database to be created exists.
    #[error("{path} is there already: start without --found")]
    AlreadyExists {
        /// The file.
        path: String,
    },
    /// Another process has the database open.
    #[error("{path} is in use by another process")]
    InUse {
        /// The file.
        path: String,
    },
    /// The database has no header.
    #[error("{path}: the folder was never founded to its end; remove it and found it anew")]
    IncompleteBootstrap {
        /// The file.
        path: String,
    },
    /// The database belongs to another server.
    #[error(
        "{path}: the folder is keeper {}'s of {} of the fleet `{}`, not keeper {}'s of {} of `{}`",
        found.server, found.server_count, found.fleet, expected.server, expected.server_count, expected.fleet
    )]
    WrongOwner {
        /// The file.
        path: String,
        /// Its owner.
        found: DatabaseOwner,
        /// The owner that is meant.
        expected: DatabaseOwner,
    },
    /// The system has no random numbers.
    #[error("the system gives no chance: {0}")]
    Random(#[source] <rand::rngs::OsRng as rand::TryRngCore>::Error),
    /// The database cannot be read or written.
    #[error("{path}: {source}")]
    Access {
        /// The file.
        path: String,
        /// The cause.
        source: BoxedError,
    },
}

impl StorageError {
    pub(super) fn io(path: &str, source: io::Error) -> StorageError {
        StorageError::Io { path: path.to_owned(), source }
    }
}
