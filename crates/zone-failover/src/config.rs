//! The operators' settings for zone failover.

use std::collections::BTreeMap;

use honeyknot_balancer::{Micros, ZoneId};

/// Settings for zone failover. [`ZoneFailoverConfig::default`] holds what an empty file means.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFailoverConfig {
    /// Tiers of preference by home zone: the zones of each tier, nearest first. A zone in no tier takes no spill. A
    /// home zone without an entry has all other zones as its one tier.
    pub tiers: BTreeMap<String, Vec<Vec<String>>>,
    /// Most of a receiving zone's capacity that spilled connections of all relays may hold, as a share.
    pub spill_limit: f64,
    /// The spill limit of single receiving zones.
    pub receive_limits: BTreeMap<String, f64>,
    /// Most of a relay's new connections that may leave its home zone, as a share.
    pub leave_limit: f64,
    /// Share of the spill limit for relays whose home zone is up but overloaded.
    pub overflow_share: f64,
    /// Number of relays in each zone; spread evenly over zones that are not named.
    pub relays_per_zone: BTreeMap<String, u32>,
    /// Factor by which the busiest relay's part of a limit may exceed an equal one. At 1 the limit holds for any
    /// skew between relays; above 1 it holds while no more than one relay in so many uses its part.
    pub relay_skew: f64,
    /// Load of a usual connection on an endpoint of weight 1, as a share of its capacity.
    pub connection_load: f64,
    /// Cost of an affinity group's first connection to an endpoint beyond its own load, in usual connections.
    pub affinity_group_cost: f64,
    /// Load of the home zone above which the next tier opens.
    pub spill_threshold: f64,
    /// Load of a receiving zone above which it takes no spill.
    pub receive_threshold: f64,
    /// Load of a receiving zone above which its spilled connections are migrated away.
    pub give_back_threshold: f64,
    /// Share of its usual capacity below which a zone is lost.
    pub lost_threshold: f64,
    /// Share of its usual capacity above which a lost zone recovers.
    pub recovered_threshold: f64,
    /// Time after which a lost zone that has stayed above `lost_threshold` recovers too, in microseconds.
    pub partial_recovery_delay: Micros,
    /// Number of silent endpoints, without a sign of life from the zone, that show the whole zone to be silent.
    pub min_unresponsive_endpoints: u32,
    /// Least time after which a recovering zone gets its full share of new connections, in microseconds.
    pub ramp_duration: Micros,
    /// Time within which relays begin the recovery ramp out of step, in microseconds.
    pub ramp_spread: Micros,
    /// Time after the ramp until spilled connections are rebalanced, in microseconds; doubled by each flap.
    pub settle_time: Micros,
    /// Hold-down of a zone that flapped once, in microseconds; doubled by each further flap.
    pub hold_down: Micros,
    /// Longest hold-down, in microseconds.
    pub max_hold_down: Micros,
    /// Time after which a flap counts half, in microseconds.
    pub flap_half_life: Micros,
    /// Connections a second that all relays together migrate between zones.
    pub migrations_per_second: f64,
    /// Load of the home zone below which spilled connections return.
    pub rebalance_threshold: f64,
    /// Most time by which an update reaches one relay later than another, in microseconds.
    pub max_update_skew: Micros,
    /// Time over which a relay whose zone was lost after others takes up its part of the spill limit, in
    /// microseconds.
    pub spill_ramp_duration: Micros,
    /// Time after which half of a zone's usual capacity is forgotten, in microseconds.
    pub usual_capacity_half_life: Micros,
    /// `Retry-After` of rejected clients.
    pub retry_after: RetryAfterRange,
}

/// Range of `Retry-After` delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterRange {
    /// Shortest delay, in microseconds.
    pub min: Micros,
    /// Longest delay, in microseconds.
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

    /// Returns the number of relays in a zone: as configured, or spread evenly.
    pub(crate) fn relays_in(&self, zone_name: &str, fleet_size: f64, zones: usize) -> f64 {
        self.relays_per_zone.get(zone_name).map_or(fleet_size / zones as f64, |count| f64::from(*count))
    }

    /// Returns a home zone's tiers; all other zones as one tier where none are configured.
    pub(crate) fn tiers_of(&self, home: ZoneId, zone_names: &[String]) -> Vec<Vec<ZoneId>> {
        let zone_id = |name: &String| zone_names.iter().position(|other| other == name).map(ZoneId);
        match self.tiers.get(&zone_names[home.0]) {
            Some(tiers) => tiers.iter().map(|tier| tier.iter().filter_map(zone_id).collect()).collect(),
            None => vec![(0..zone_names.len()).map(ZoneId).filter(|zone| *zone != home).collect()],
        }
    }
}
