//! Why a relay cannot take part in gossip.

use std::io;
use std::net::SocketAddr;

use honeyknot_gossip::NetworkNotTrusted;

/// Why a relay cannot join gossip.
#[derive(Debug, thiserror::Error)]
pub enum JoinGossipError {
    /// The configuration allows loopback addresses only.
    #[error(transparent)]
    NetworkNotTrusted(#[from] NetworkNotTrusted),
    /// The socket cannot be bound.
    #[error(
        "neighbours cannot be heard at {0} ({1}): free the port, or write another `port` into the file of all relays"
    )]
    Bind(SocketAddr, io::Error),
    /// The thread does not start.
    #[error(
        "the neighbours' thread does not start ({0}): raise the limit on threads, or leave the file away"
    )]
    StartThread(io::Error),
}
