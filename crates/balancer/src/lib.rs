#![forbid(unsafe_code)]
//! The decision module: which card server a request goes to, whether it is tried again, what is turned away.
//!
//! Events go in with the time, actions come out ([`interface`]); [`Balancer`] decides. It never does I/O, never
//! reads a clock and draws every random number from its seed, so that sockets, the simulator's wire, a test or a
//! virtual clock can drive it alike, and the same events give the same actions.

pub mod blind;
pub mod breaker;
pub mod cold;
pub mod decide;
pub mod estimates;
pub mod health;
pub mod interface;
pub mod rendezvous;
pub mod withheld;
pub mod zones;

pub use decide::Balancer;
pub use withheld::Withheld;
