//! Handlers of Unix signals.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// A signal handler cannot be installed.
#[derive(Debug, thiserror::Error)]
#[error("cannot install a signal handler: {0}")]
pub struct SignalError(#[from] std::io::Error);

/// Installs a handler for a kind of signal, in place of the signal's default action.
///
/// # Errors
/// If the handler cannot be installed.
pub(super) fn receive(kind: SignalKind) -> Result<Signal, SignalError> {
    Ok(signal(kind)?)
}
