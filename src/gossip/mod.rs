//! Gossip on a socket: a thread beside the relay's event loop.
//!
//! The thread sends and receives datagrams and publishes a [`GossipView`](honeyknot_gossip::GossipView). The event loop loads
//! the view without waiting for the thread; a view that is not renewed ages until its observations no longer count.
//! The loop's observations reach the thread by a bounded queue; those that find it full are dropped and counted. Nothing
//! is decided here.

#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod counters;
mod error;
mod handle;
mod thread;

pub use counters::SharedGossipCounters;
pub use error::JoinGossipError;
pub use handle::GossipHandle;
