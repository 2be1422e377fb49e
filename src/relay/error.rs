//! Why a relay does not start, or is not ready.

use std::error::Error;

/// Why a relay cannot be made of its configuration.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Zone failover cannot work with these settings.
    #[error(transparent)]
    ZoneFailover(Box<dyn Error + Send + Sync>),
    /// The relay cannot take part in gossip.
    #[error(transparent)]
    Gossip(Box<dyn Error + Send + Sync>),
    /// The balancer does not accept the settings.
    #[error("settings: {0}")]
    Settings(#[source] Box<dyn Error + Send + Sync>),
}

/// Why a relay does not accept clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotReady {
    /// It is shutting down.
    #[error("on its way out")]
    ShuttingDown,
    /// It has no endpoint list yet.
    #[error("no server roll yet")]
    NoEndpointList,
    /// Another process still accepts its clients.
    #[error("not taken over yet")]
    NotTakenOver,
}
