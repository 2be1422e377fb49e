//! Parameters of a new [`ZoneFailover`](crate::ZoneFailover).

use honeyknot_balancer::{Micros, ZoneId};

use crate::config::ZoneFailoverConfig;

/// Parameters of [`ZoneFailover::new`](crate::ZoneFailover::new).
#[derive(Clone, Debug)]
pub struct ZoneFailoverSetup {
    /// Operator configuration.
    pub config: ZoneFailoverConfig,
    /// Names of all zones. A [`ZoneId`] is an index into this list.
    pub zone_names: Vec<String>,
    /// Zone of this relay.
    pub home_zone: ZoneId,
    /// Number of relays in the fleet.
    pub fleet_size: u32,
    /// Time from its start until an endpoint has its full capacity, in microseconds.
    pub slow_start_duration: Micros,
    /// Minimum share of its capacity that an endpoint has at its start.
    pub initial_capacity: f64,
    /// Seed of all random numbers. It must differ between relays, so that they do not act in lockstep.
    pub seed: u64,
}
