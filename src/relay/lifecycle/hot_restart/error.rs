//! Why a hot restart or a maintenance change fails.

use std::io;

/// Why this process cannot take over from the running process of the same relay.
#[derive(Debug, thiserror::Error)]
pub enum HotRestartError {
    /// The running process's answer came without the descriptor of its listening socket.
    #[error("the running process answered the takeover request without its listening socket")]
    NoListener,
    /// The received listening socket cannot be used.
    #[error("the listening socket received from the running process cannot be used: {0}")]
    Listener(#[source] io::Error),
    /// Another process is already taking over.
    #[error("another process is taking over from the running process already")]
    TakeoverInProgress,
    /// The running process answered with an unexpected message, as another version may do.
    #[error("the running process sent an unexpected message; stop it before starting this version")]
    UnexpectedMessage,
    /// The running process did not answer in time.
    #[error("the running process did not answer the takeover request in time")]
    NoAnswer,
    /// This process was asked to stop before it took over.
    #[error("asked to stop before the takeover")]
    ShutDown,
    /// The running process did not stop accepting clients in time.
    #[error("the running process did not stop accepting clients in time")]
    NotHandedOver,
}

/// Why an endpoint's maintenance cannot be started or ended.
#[derive(Debug, thiserror::Error)]
pub enum SetMaintenanceError {
    /// The endpoint list has no endpoint with this id.
    #[error("no endpoint has the id {0}")]
    UnknownEndpoint(String),
    /// The change is in effect in this process, but could not be written to the maintenance file.
    #[error("the change is in effect but could not be saved; a restart may undo it: {0}")]
    NotSaved(#[source] io::Error),
    /// The change is in effect in this process, but the other process did not confirm it in time.
    #[error("the change is in effect in this process, but the relay's other process did not confirm it")]
    NotConfirmed,
}

/// Why the state directory cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StateDirectoryError {
    /// An operation on the directory or a file in it failed.
    #[error("{path}: {source}")]
    Io {
        /// The directory's path.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// It is not a directory, belongs to another user, or is accessible to its group or to others.
    #[error("{path}: not a directory owned by this user with mode 0700")]
    NotPrivate {
        /// The directory's path.
        path: String,
    },
}
