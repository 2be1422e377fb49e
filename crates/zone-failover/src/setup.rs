//! What a relay's part needs at its start.

use honeyknot_balancer::{Micros, ZoneId};

use crate::config::ZoneFailoverConfig;

/// Settings of a [`ZoneFailover`](crate::ZoneFailover).
#[derive(Clone, Debug)]
pub struct ZoneFailoverSetup {
    /// The operators' settings.
    pub config: ZoneFailoverConfig,
    /// Names of all zones; a [`ZoneId`] is an index.
    pub zone_names: Vec<String>,
    /// This relay's own zone.
    pub home_zone: ZoneId,
    /// Number of relays in the fleet.
    pub fleet_size: u32,
    /// Time after which an endpoint has its full capacity, in microseconds.
    pub slow_start_duration: Micros,
    /// Least share of its capacity that an endpoint starts with.
    pub initial_capacity: f64,
    /// Seed of all random draws; different at each relay, so that relays act out of step.
    pub seed: u64,
}
