//! Why a hot restart, or a change of maintenance, fails.

use std::io;

/// Why this process cannot take over from the one that serves.
#[derive(Debug, thiserror::Error)]
pub enum HotRestartError {
    /// The answer of the process that serves had no listener beside it.
    #[error("no listener came from the process that serves here")]
    NoListener,
    /// The listener cannot be used.
    #[error("the listener handed over: {0}")]
    Listener(#[source] io::Error),
    /// Another process is taking over already.
    #[error("another process is taking over from the one that serves here")]
    TakeoverInProgress,
    /// The process that serves answers with an unexpected message.
    #[error("the process that serves here speaks another language: upgrade by a restart")]
    UnexpectedMessage,
    /// The process that serves does not answer in time.
    #[error("the process that serves here does not answer")]
    NoAnswer,
    /// This process was asked to stop before it took over.
    #[error("told to stop before it took over")]
    ShutDown,
    /// The process that serves does not stop accepting clients in time.
    #[error("the process that serves here does not let go of its door")]
    NotHandedOver,
}

/// Why an endpoint's maintenance cannot be started or ended.
#[derive(Debug, thiserror::Error)]
pub enum SetMaintenanceError {
    /// No endpoint has this id.
    #[error("no card server has the id {0}")]
    UnknownEndpoint(String),
    /// The change holds in this process, but its file cannot be written.
    #[error("it holds, but cannot be kept: {0}")]
    NotSaved(#[source] io::Error),
    /// The change holds in this process; the other one has not confirmed it in time.
    #[error("it holds here, but the other process has not confirmed it")]
    NotConfirmed,
}

/// Why the folder in which processes meet cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StateDirectoryError {
    /// An operation on it fails.
    #[error("{path}: {source}")]
    Io {
        /// Its path.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// It belongs to another user, or others may enter it.
    #[error("{path}: not a folder of this user alone")]
    NotPrivate {
        /// Its path.
        path: String,
    },
}
