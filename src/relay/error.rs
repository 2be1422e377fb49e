//! Errors of starting and serving, and the reasons why a relay is not ready.

use std::io;
use std::net::SocketAddr;

use honeyknot_balancer::SettingsError;

use super::endpoints::zone_failover::ZoneFailoverStartError;
use super::lifecycle::config::LoadConfigError;
use super::lifecycle::hot_restart::HotRestartError;
use super::lifecycle::signals::SignalError;
use crate::gossip::JoinGossipError;

/// An error that prevents a relay from being created from its configuration.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Zone failover cannot be started with these settings.
    #[error(transparent)]
    ZoneFailover(#[from] ZoneFailoverStartError),
    /// The relay cannot join gossip.
    #[error(transparent)]
    Gossip(#[from] JoinGossipError),
    /// The balancer does not accept the settings.
    #[error("invalid settings: {0}")]
    Settings(#[source] SettingsError),
}

/// An error that ends a relay.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] LoadConfigError),
    /// The asynchronous runtime cannot be started.
    #[error("cannot start the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// Signals cannot be received.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// The address for clients cannot be listened on.
    #[error("cannot listen for clients on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The address for operators cannot be listened on.
    #[error("cannot listen for operators on `admin_addr` {address}: {source}")]
    ListenAdmin {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The relay cannot be created from its configuration.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The running process of this relay cannot be replaced.
    #[error(transparent)]
    HotRestart(#[from] HotRestartError),
}

/// The reason why a relay does not accept clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotReady {
    /// The relay is shutting down.
    #[error("shutting down")]
    ShuttingDown,
    /// The endpoint list has no entries, for example because discovery has not sent one yet.
    #[error("no endpoint list from discovery yet, or an empty one")]
    NoEndpointList,
    /// The previous process of this relay still accepts its clients.
    #[error("the previous process of this relay still accepts its clients")]
    TakeoverPending,
}
