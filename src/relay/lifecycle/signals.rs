//! The process's signals.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals cannot be received.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen for signals: {0}")]
pub struct SignalError(#[from] std::io::Error);

/// Receives signals of a kind from now on, instead of the default action.
///
/// # Errors
/// If the handler cannot be installed.
pub(super) fn receive(kind: SignalKind) -> Result<Signal, SignalError> {
    Ok(signal(kind)?)
}
