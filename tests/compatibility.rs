//! Frozen forms: bytes that the program wrote before its modules were renamed are read and written again
//! unchanged.
//!
//! The fixtures under `tests/compatibility/fixtures` were written by the version that stood before the
//! renames. They never change: a test here that fails means that stored data, a wire or an operator's file
//! has changed its form.

#[path = "compatibility/leases_and_gossip.rs"]
mod leases_and_gossip;
#[path = "compatibility/relay.rs"]
mod relay;
#[path = "compatibility/simulator.rs"]
mod simulator;
