//! Errors of the storage.

use std::io;

use thiserror::Error;

use super::{BoxedError, DatabaseOwner};

/// Why the storage of a lease server cannot be used.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A file operation failed.
    #[error("cannot access {path}: {source}")]
    Io {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// There is no database, and its creation was not requested.
    #[error(
        "{path} does not exist. If this lease server has never run, create the database with \
         --found TOKENS_FROM. If its disk was lost, it must not vote with an empty database; see \
         docs/operate/leases.md"
    )]
    Missing {
        /// The file.
        path: String,
    },
    /// The database to be created exists.
    #[error("{path} already exists; start without --found")]
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
    #[error(
        "{path}: the creation of the database was not completed; \
         remove the file and create it again with --found"
    )]
    IncompleteBootstrap {
        /// The file.
        path: String,
    },
    /// The database belongs to another server.
    #[error(
        "{path}: the database belongs to lease server {} of {} of fleet `{}`, \
         not to lease server {} of {} of fleet `{}`",
        found.server, found.server_count, found.fleet, expected.server, expected.server_count, expected.fleet
    )]
    WrongOwner {
        /// The file.
        path: String,
        /// The owner in the database.
        found: DatabaseOwner,
        /// The owner by the configuration and the options.
        expected: DatabaseOwner,
    },
    /// The operating system provides no random numbers.
    #[error("cannot draw a random database id: {0}")]
    Random(#[source] <rand::rngs::OsRng as rand::TryRngCore>::Error),
    /// The database cannot be read or written.
    #[error("cannot read or write the database {path}: {source}")]
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
