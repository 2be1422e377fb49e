//! Why a relay does not start, ends early, or is not ready.

use std::io;
use std::net::SocketAddr;

use honeyknot_balancer::SettingsError;

use super::endpoints::zone_failover::ZoneFailoverStartError;
use super::lifecycle::config::LoadConfigError;
use super::lifecycle::hot_restart::HotRestartError;
use super::lifecycle::signals::SignalError;
use crate::gossip::JoinGossipError;

/// Why a relay cannot be made of its configuration.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Zone failover cannot work with these settings.
    #[error(transparent)]
    ZoneFailover(#[from] ZoneFailoverStartError),
    /// The relay cannot take part in gossip.
    #[error(transparent)]
    Gossip(#[from] JoinGossipError),
    /// The balancer does not accept the settings.
    #[error("settings: {0}")]
    Settings(#[source] SettingsError),
}

/// Why a relay ends without being asked to.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] LoadConfigError),
    /// The runtime does not start.
    #[error("the runtime does not start: {0}")]
    Runtime(#[source] io::Error),
    /// Signals cannot be received.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// The address for clients cannot be listened on.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The address for operators cannot be listened on.
    #[error("`admin_addr` {address}: {source}")]
    ListenAdmin {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The relay cannot be made.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The process that serves so far cannot be replaced.
    #[error(transparent)]
    HotRestart(#[from] HotRestartError),
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
    TakeoverPending,
}
