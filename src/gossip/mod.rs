//! Runs gossip in a thread beside the relay's event loop.
//!
//! The thread owns the UDP socket, sends and receives datagrams, and periodically stores a new
//! [`GossipView`](honeyknot_gossip::GossipView). The event loop loads the latest view without waiting for the
//! thread; if the thread stops, the observations in the view expire. The event loop passes its own
//! observations to the thread in a bounded queue; when the queue is full, they are dropped and counted. This
//! module makes no decisions about endpoints.

#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod counters;
mod error;
mod handle;
mod thread;

pub use counters::SharedGossipCounters;
pub use error::JoinGossipError;
pub use handle::GossipHandle;
