//! Operator configuration of zone failover.

use std::collections::BTreeMap;

use honeyknot_balancer::{Micros, ZoneId};

/// Configuration of zone failover. [`ZoneFailoverConfig::default`] is the configuration of an empty file.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFailoverConfig {
    /// Tiers of preference for each home zone, most preferred tier first, each a list of zones. Zones in no
    /// tier receive no spill. A home zone without an entry has all other zones in a single tier.
    pub tiers: BTreeMap<String, Vec<Vec<String>>>,
    /// Maximum share of a receiving zone's capacity that spilled connections of all relays together may use.
    pub spill_limit: f64,
    /// Spill limits of receiving zones that differ from `spill_limit`, by zone name.
    pub receive_limits: BTreeMap<String, f64>,
    /// Maximum share of a relay's new connections that may leave its home zone.
    pub leave_limit: f64,
    /// Share of the spill limit that is divided equally among the relays of all other zones, so that relays
    /// whose home zone is up but overloaded may spill as well.
    pub overflow_share: f64,
    /// Number of relays in each zone, by zone name. A zone without an entry is assumed to have an equal share
    /// of the fleet.
    pub relays_per_zone: BTreeMap<String, u32>,
    /// Factor by which the busiest relay's share of a limit may exceed an equal share. At 1 the limit holds
    /// for any skew of load between relays. At a higher value N it holds as long as at most one in N relays
    /// uses up its share.
    pub relay_skew: f64,
    /// Load of an average connection on an endpoint of weight 1, as a share of the endpoint's capacity.
    pub connection_load: f64,
    /// Additional load of an affinity group's first connection to an endpoint, in average connections.
    pub affinity_group_cost: f64,
    /// Load of the home zone from which new connections may spill to other zones.
    pub spill_threshold: f64,
    /// Load of a receiving zone from which it accepts no spill.
    pub receive_threshold: f64,
    /// Load of a receiving zone from which spilled connections are migrated away.
    pub give_back_threshold: f64,
    /// Share of its usual capacity below which a zone is lost.
    pub lost_threshold: f64,
    /// Share of its usual capacity from which a lost zone recovers.
    pub recovered_threshold: f64,
    /// Time after which a lost zone whose capacity has stayed between `lost_threshold` and
    /// `recovered_threshold` recovers as well, in microseconds.
    pub partial_recovery_delay: Micros,
    /// Number of unresponsive endpoints from which a whole zone is considered unresponsive if no other
    /// endpoint of the zone responds either.
    pub min_unresponsive_endpoints: u32,
    /// Minimum duration of the recovery ramp, in microseconds. A recovering zone takes new connections
    /// without limit after it.
    pub ramp_duration: Micros,
    /// Time over which the relays randomly spread the start of the recovery ramp, in microseconds.
    pub ramp_spread: Micros,
    /// Time from the end of the ramp until spilled connections return, in microseconds. Each flap after the
    /// first doubles it.
    pub settle_time: Micros,
    /// Base of the hold-down of a zone that has flapped, in microseconds. Each flap after the first doubles
    /// it.
    pub hold_down: Micros,
    /// Maximum hold-down, in microseconds.
    pub max_hold_down: Micros,
    /// Half-life of the number of flaps, in microseconds.
    pub flap_half_life: Micros,
    /// Number of connections a second that all relays together migrate between zones.
    pub migrations_per_second: f64,
    /// Load of the home zone below which spilled connections return to it.
    pub rebalance_threshold: f64,
    /// Maximum time by which an endpoint update reaches one relay later than another, in microseconds.
    pub max_update_skew: Micros,
    /// Minimum time over which a relay whose zone was lost after others raises its use of the spill limit to
    /// its share, in microseconds.
    pub spill_ramp_duration: Micros,
    /// Half-life of a zone's remembered usual capacity, in microseconds.
    pub usual_capacity_half_life: Micros,
    /// Range of the `Retry-After` that rejected clients receive.
    pub retry_after: RetryAfterRange,
}

/// Range of `Retry-After` delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterRange {
    /// Minimum delay, in microseconds.
    pub min: Micros,
    /// Maximum delay, in microseconds.
    pub max: Micros,
}

impl Default for ZoneFailoverConfig {
    fn default() -> ZoneFailoverConfig {
        ZoneFailoverConfig {
            tiers: BTreeMap::new(),
            spill_limit: 0.25,
            receive_limits: BTreeMap::new(),
            leave_limit: 1.0,
            overflow_share: 0.25,
            relays_per_zone: BTreeMap::new(),
            relay_skew: 1.0,
            connection_load: 0.03,
            affinity_group_cost: 0.0,
            spill_threshold: 0.6,
            receive_threshold: 0.7,
            give_back_threshold: 0.85,
            lost_threshold: 0.1,
            recovered_threshold: 0.4,
            partial_recovery_delay: 5_000_000,
            min_unresponsive_endpoints: 2,
            ramp_duration: 9_000_000,
            ramp_spread: 1_500_000,
            settle_time: 5_000_000,
            hold_down: 4_000_000,
            max_hold_down: 120_000_000,
            flap_half_life: 120_000_000,
            migrations_per_second: 4.0,
            rebalance_threshold: 0.55,
            max_update_skew: 3_000_000,
            spill_ramp_duration: 10_000_000,
            usual_capacity_half_life: 600_000_000,
            retry_after: RetryAfterRange { min: 150_000, max: 600_000 },
        }
    }
}

impl ZoneFailoverConfig {
    /// Returns the spill limit of a receiving zone.
    pub(crate) fn spill_limit_of(&self, zone_name: &str) -> f64 {
        self.receive_limits.get(zone_name).copied().unwrap_or(self.spill_limit)
    }

    /// Returns the number of relays in a zone: the configured one, or else an equal share of the fleet.
    pub(crate) fn relays_in(&self, zone_name: &str, fleet_size: f64, zones: usize) -> f64 {
        self.relays_per_zone.get(zone_name).map_or(fleet_size / zones as f64, |count| f64::from(*count))
    }

    /// Returns the tiers of a home zone. If none are configured, all other zones form a single tier.
    pub(crate) fn tiers_of(&self, home: ZoneId, zone_names: &[String]) -> Vec<Vec<ZoneId>> {
        let zone_id = |name: &String| zone_names.iter().position(|other| other == name).map(ZoneId);
        match self.tiers.get(&zone_names[home.0]) {
            Some(tiers) => tiers.iter().map(|tier| tier.iter().filter_map(zone_id).collect()).collect(),
            None => vec![(0..zone_names.len()).map(ZoneId).filter(|zone| *zone != home).collect()],
        }
    }
}
