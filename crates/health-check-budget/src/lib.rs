//! The budget of health checks that all relays of a fleet share.
//!
//! [`HealthCheckBudget`] is the part of one relay. [`GossipView`](honeyknot_gossip::GossipView)s and the time go in; it
//! returns which health checks this relay makes and what is already known. It routes nothing. When gossip knows no other
//! member, the relay makes all of its own checks. It does no I/O, reads no clock and draws every random number from its seed.
//!
//! Each endpoint has a few assigned probers among the living members, which check it at an interval and publish what they
//! observe; see [`assigned_probers`](honeyknot_gossip::assigned_probers). All other members use the aggregate of these
//! observations, so the rate of checks at an endpoint does not grow with the number of relays. While too few observations
//! are fresh, a member checks with the probability of probers over living members.

#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod budget;
mod decision;
mod local_check;

pub use budget::HealthCheckBudget;
pub use decision::HealthCheckDecision;
