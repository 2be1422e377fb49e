//! Decides which zones a relay's new connections may go to when zones are lost or overloaded, and when
//! connections return to the home zone.
//!
//! Each relay has a [`ZoneFailover`]. For each new connection it returns the zones from which the balancer
//! may choose an endpoint ([`ZoneDecision::Allow`]), or a rejection with a `Retry-After`
//! ([`ZoneDecision::Reject`]). It never chooses an endpoint itself. The caller passes in events with their
//! time (endpoint lists, attempts and their outcomes, load reports) and carries out the actions that are
//! returned ([`ZoneAction`]). The crate does no I/O, reads no clock and draws all random numbers from a seed.
//!
//! Relays share no state. Each keeps to its share of a limit that applies to all of them together. The shares
//! add up to no more than the limit as long as the configured assumptions hold
//! ([`ZoneFailoverConfig::relay_skew`], [`ZoneFailoverConfig::max_update_skew`]). `docs/design/sites.md`
//! derives the shares.
//!
//! A new connection takes O(zones) time, a load report or an outcome O(log endpoints), an endpoint list and
//! each [`ZoneFailover::tick`] O(endpoints + zones). Memory grows with the number of endpoints, zones and
//! spilled connections of the relay.

#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod action;
mod admission;
mod capacity_aggregation;
mod config;
mod config_file;
mod connections;
mod decaying_sum;
mod endpoint;
mod endpoint_updates;
mod error;
mod failover;
mod health_checks;
mod rebalancing;
mod recovery_ramp;
mod retry_after;
mod setup;
mod spill_limit;
mod spilled_connections;
mod token_bucket;
mod zone;
mod zone_health;

pub use action::{ZoneAction, ZoneDecision, ZoneEvent};
pub use config::{RetryAfterRange, ZoneFailoverConfig};
pub use endpoint::EndpointSignal;
pub use error::ZoneFailoverError;
pub use failover::ZoneFailover;
pub use setup::ZoneFailoverSetup;
pub use zone_health::ZoneState;
