#![forbid(unsafe_code)]
//! The decision module: which card server a request goes to, whether it is tried again, what is turned away.
//!
//! Events go in with the time, actions come out ([`interface`]); [`Balancer`] decides. It never does I/O, never
//! reads a clock and draws every random number from its seed, so that sockets, the simulator's wire, a test or a
//! virtual clock can drive it alike, and the same events give the same actions.

pub mod balancer;
pub mod circuit_breaker;
pub mod estimates;
pub mod interface;
pub mod maintenance;
pub mod outlier_detection;
pub mod rendezvous;
pub mod slow_start;
pub mod unreported_load;
pub mod zone_affinity;

pub use balancer::Balancer;
pub use interface::*;
pub use maintenance::MaintenanceOverlay;
