//! Compatibility tests: data that an earlier version of the program wrote is read, and written again
//! unchanged.
//!
//! The fixtures under `tests/compatibility/fixtures` were written by the last version before the modules of
//! the program were renamed. They never change: a failure here means that the format of stored data, of a
//! wire protocol or of an operators' file has changed.

#[path = "compatibility/leases_and_gossip.rs"]
mod leases_and_gossip;
#[path = "compatibility/relay.rs"]
mod relay;
#[path = "compatibility/simulator.rs"]
mod simulator;
