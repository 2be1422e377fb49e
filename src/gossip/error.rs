//! Errors that prevent a relay from joining gossip.

use std::io;
use std::net::SocketAddr;

use honeyknot_gossip::NetworkNotTrusted;

/// Why a relay cannot join gossip.
#[derive(Debug, thiserror::Error)]
pub enum JoinGossipError {
    /// The address is not a loopback address, and the configuration allows no other.
    #[error(transparent)]
    NetworkNotTrusted(#[from] NetworkNotTrusted),
    /// The UDP socket cannot be bound.
    #[error(
        "cannot bind the gossip socket to {0} ({1}): free the port, or set another `port` in the gossip files of \
         all relays"
    )]
    Bind(SocketAddr, io::Error),
    /// The gossip thread cannot be started.
    #[error(
        "cannot start the gossip thread ({0}): raise the limit on threads, or run without the gossip file"
    )]
    StartThread(io::Error),
}
