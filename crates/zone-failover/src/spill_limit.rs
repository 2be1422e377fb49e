//! This relay's share of the spill limits of receiving zones.

use honeyknot_balancer::{Micros, ZoneId};

use crate::failover::ZoneFailover;
use crate::zone::Zone;
use crate::zone_health::ZoneState;

/// Minimum rate of migrations that is assumed, in connections a second.
const MIN_MIGRATION_RATE: f64 = 1e-3;
/// Maximum duration that is derived from the rate of migrations, in microseconds.
const MAX_MIGRATION_TIME: f64 = 3.6e9;

/// Totals of the spill demand of all zones.
#[derive(Debug, Default)]
pub(crate) struct SpillDemandTotals {
    /// Number of relays in all zones.
    relays: f64,
    /// Number of relays in zones with spill demand, each weighted by the spill demand of its zone.
    spilling_relays: f64,
    /// Number of zones whose spill demand began before that of the home zone.
    zones_spilling_earlier: u32,
    /// Time that a relay needs to migrate all connections that it may have in other zones, in microseconds.
    give_back_time: Micros,
    /// Time that a relay needs for the first of those migrations, in microseconds.
    first_migration_time: Micros,
}

impl ZoneFailover {
    /// Returns how much of a receiving zone's capacity this relay's connections may use, in endpoint weights.
    pub(crate) fn spill_allowance(&self, zone_id: ZoneId, now: Micros) -> f64 {
        let zone = &self.zones[zone_id.0];
        let share = (self.spill_share(zone, now) * self.config.relay_skew).min(1.0);
        zone.spill_limit * zone.capacity.warm * share
    }

    /// Returns this relay's share of a receiving zone's spill limit; the shares of all relays add up to no
    /// more than 1.
    ///
    /// The overflow share is divided equally among all relays of other zones, the rest among the relays whose
    /// home zones have spill demand.
    fn spill_share(&self, zone: &Zone, now: Micros) -> f64 {
        let other_relays = (self.spill_demand_totals.relays - zone.relays).max(1.0);
        let overflow = self.config.overflow_share / other_relays;
        let home = self.home();
        match home.health.shortage_since().filter(|_| home.spill_demand > 0.0) {
            None => overflow,
            Some(shortage_since) => {
                let demand_share = self.lost_zones_share(zone, other_relays, shortage_since, now);
                overflow + (1.0 - self.config.overflow_share) * demand_share
            }
        }
    }

    /// Returns this relay's share of the part of the limit that is for relays of lost zones.
    ///
    /// All relays learn of a loss from the endpoint list, but not at the same time. Until the update must
    /// have reached every relay, a relay uses only the share that it would have if all zones were lost. If
    /// other zones were lost earlier, the share rises gradually, at the pace at which their relays give
    /// capacity back.
    fn lost_zones_share(&self, zone: &Zone, other_relays: f64, shortage_since: Micros, now: Micros) -> f64 {
        let spill_demand = self.home().spill_demand;
        let age = now.saturating_sub(shortage_since);
        let spilling_relays = self.spill_demand_totals.spilling_relays - zone.relays * zone.spill_demand;
        let full_share = spill_demand / spilling_relays.max(spill_demand);
        let others_spilled_earlier = self.spill_demand_totals.zones_spilling_earlier
            > u32::from(zone.has_spill_demand_since_before(shortage_since));
        if others_spilled_earlier {
            let delay = self.config.max_update_skew + self.spill_demand_totals.first_migration_time;
            let duration =
                self.config.spill_ramp_duration.max(self.spill_demand_totals.give_back_time / 2).max(1);
            let progress = (age.saturating_sub(delay) as f64 / duration as f64).min(1.0);
            progress * full_share
        } else if age < self.config.max_update_skew {
            1.0 / other_relays
        } else {
            full_share
        }
    }

    /// Updates the spill demand of each zone and the totals.
    ///
    /// The spill demand of a zone is the share of its connections that it cannot carry itself. After a
    /// recovery it stays at 1 until all spilled connections must have returned at the migration rate.
    pub(crate) fn update_spill_demand(&mut self, now: Micros) {
        let max_spill: f64 = self.zones.iter().map(|zone| zone.spill_limit * zone.capacity.warm).sum();
        let migration_rate = (self.config.migrations_per_second / self.fleet_size).max(MIN_MIGRATION_RATE);
        let give_back_time = (max_spill / self.config.connection_load / migration_rate * 1e6)
            .min(MAX_MIGRATION_TIME) as Micros;
        for zone in &mut self.zones {
            zone.spill_demand = match zone.health.state() {
                ZoneState::Up { rebalance_from }
                    if rebalance_from > 0 && now < rebalance_from + give_back_time =>
                {
                    1.0
                }
                _ => zone.health.missing_share(),
            };
        }
        let home_shortage_since = self.home().health.shortage_since();
        let is_earlier =
            |zone: &&Zone| home_shortage_since.is_some_and(|since| zone.has_spill_demand_since_before(since));
        self.spill_demand_totals = SpillDemandTotals {
            relays: self.zones.iter().map(|zone| zone.relays).sum(),
            spilling_relays: self.zones.iter().map(|zone| zone.relays * zone.spill_demand).sum(),
            zones_spilling_earlier: self.zones.iter().filter(is_earlier).count() as u32,
            give_back_time,
            first_migration_time: (1e6 / migration_rate).min(MAX_MIGRATION_TIME) as Micros,
        };
    }
}
