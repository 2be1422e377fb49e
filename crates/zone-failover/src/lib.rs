//! Decides which zones a relay's new connections may go to when zones are lost or overloaded, and when connections
//! return to their home zone.
//!
//! [`ZoneFailover`] is the part of one relay. For each new connection it returns the zones within which the
//! balancer may choose ([`ZoneDecision::Allow`]), or a rejection with a `Retry-After` ([`ZoneDecision::Reject`]).
//! It never chooses an endpoint. Events go in with the time: endpoint lists, attempts and their outcomes, load
//! reports. Actions come out ([`ZoneAction`]). It does no I/O, reads no clock and draws every random number from
//! its seed.
//!
//! Relays share no state. Each keeps to its part of a limit that holds for all of them; the parts add up to no more
//! than the whole as long as the configured assumptions hold ([`ZoneFailoverConfig::relay_skew`],
//! [`ZoneFailoverConfig::max_update_skew`]). `docs/design/sites.md` derives the parts.
//!
//! A new connection takes O(zones) steps, a load report or outcome O(log endpoints), an endpoint list and each
//! [`ZoneFailover::tick`] O(endpoints + zones). Memory grows with endpoints, zones and this relay's spilled
//! connections.

#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod action;
mod admission;
mod capacity_survey;
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
