//! A budget of health checks that all relays of a fleet share.
//!
//! Each endpoint has a few assigned probers among the living members of the fleet. They check it at a fixed
//! interval and publish their observations; see [`assigned_probers`](honeyknot_gossip::assigned_probers). All
//! other members use the aggregate of these observations, so the rate of checks at an endpoint does not grow
//! with the number of relays. While too few observations are fresh, a member makes a requested check only
//! with a probability: the number of probers divided by the number of living members.
//!
//! [`HealthCheckBudget`] is one relay's part of this budget. From a
//! [`GossipView`](honeyknot_gossip::GossipView) and the time, it decides which health checks this relay makes
//! and which results are already known; it makes no routing decisions. A relay that sees no more members than
//! probers makes all of its own checks. The crate does no I/O, reads no clock and draws every random number
//! from a seed.

#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod budget;
mod decision;
mod local_check;

pub use budget::HealthCheckBudget;
pub use decision::HealthCheckDecision;
