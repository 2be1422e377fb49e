//! This relay's part of the receiving zones' spill limits.

use honeyknot_balancer::{Micros, ZoneId};

use crate::failover::ZoneFailover;
use crate::zone::Zone;
use crate::zone_health::ZoneState;

/// Least pace of migrations that is assumed, in connections a second.
const MIN_MIGRATION_RATE: f64 = 1e-3;
/// Longest duration that is derived from the pace of migrations, in microseconds.
const MAX_MIGRATION_TIME: f64 = 3.6e9;

/// The claims of all zones together.
#[derive(Debug, Default)]
pub(crate) struct ClaimTotals {
    /// All relays.
    relays: f64,
    /// Relays with a claim, each counted by the size of its zone's claim.
    claiming_relays: f64,
    /// Zones whose claim is older than the home zone's.
    earlier_claims: u32,
    /// Time that a relay takes to migrate all that it may hold at other zones, in microseconds.
    give_back_time: Micros,
    /// Time until the first of those migrations, in microseconds.
    first_migration_time: Micros,
}

impl ZoneFailover {
    /// Returns the weight of a receiving zone's capacity that this relay's connections may hold there.
    pub(crate) fn spill_allowance(&self, zone_id: ZoneId, now: Micros) -> f64 {
        let zone = &self.zones[zone_id.0];
        let share = (self.spill_share(zone, now) * self.config.relay_skew).min(1.0);
        zone.spill_limit * zone.capacity.warm * share
    }

    /// Returns this relay's share of a receiving zone's spill limit; the shares of all relays add up to no more
    /// than 1.
    ///
    /// The overflow share belongs to all foreign relays alike, the rest to relays whose home zones are lost.
    fn spill_share(&self, zone: &Zone, now: Micros) -> f64 {
        let foreign_relays = (self.claims.relays - zone.relays).max(1.0);
        let overflow = self.config.overflow_share / foreign_relays;
        let home = self.home();
        match home.health.short_since().filter(|_| home.claim > 0.0) {
            None => overflow,
            Some(short_since) => {
                let claimed = self.claimed_share(zone, foreign_relays, short_since, now);
                overflow + (1.0 - self.config.overflow_share) * claimed
            }
        }
    }

    /// Returns this relay's share of what belongs to relays of lost zones.
    ///
    /// All relays learn of a loss by the endpoint list, though not at the same time. Until the update must have
    /// reached every relay, a relay takes what would be its share if all zones were lost. A relay whose zone was
    /// lost after others takes up its share as slowly as those give theirs back.
    fn claimed_share(&self, zone: &Zone, foreign_relays: f64, short_since: Micros, now: Micros) -> f64 {
        let claim = self.home().claim;
        let age = now.saturating_sub(short_since);
        let claiming_relays = self.claims.claiming_relays - zone.relays * zone.claim;
        let full_share = claim / claiming_relays.max(claim);
        let others_claimed_before =
            self.claims.earlier_claims > u32::from(zone.claims_since_before(short_since));
        if others_claimed_before {
            let delay = self.config.max_update_skew + self.claims.first_migration_time;
            let duration = self.config.spill_ramp_duration.max(self.claims.give_back_time / 2).max(1);
            let progress = (age.saturating_sub(delay) as f64 / duration as f64).min(1.0);
            progress * full_share
        } else if age < self.config.max_update_skew {
            1.0 / foreign_relays
        } else {
            full_share
        }
    }

    /// Updates each zone's claim and their totals.
    ///
    /// A zone claims what it cannot carry itself, and everything until spilled connections must have returned at
    /// the pace of migrations.
    pub(crate) fn update_claims(&mut self, now: Micros) {
        let max_spill: f64 = self.zones.iter().map(|zone| zone.spill_limit * zone.capacity.warm).sum();
        let migration_rate = (self.config.migrations_per_second / self.fleet_size).max(MIN_MIGRATION_RATE);
        let give_back_time = (max_spill / self.config.connection_load / migration_rate * 1e6)
            .min(MAX_MIGRATION_TIME) as Micros;
        for zone in &mut self.zones {
            zone.claim = match zone.health.state() {
                ZoneState::Up { rebalance_from }
                    if rebalance_from > 0 && now < rebalance_from + give_back_time =>
                {
                    1.0
                }
                _ => zone.health.missing_share(),
            };
        }
        let home_short_since = self.home().health.short_since();
        let is_earlier = |zone: &&Zone| home_short_since.is_some_and(|since| zone.claims_since_before(since));
        self.claims = ClaimTotals {
            relays: self.zones.iter().map(|zone| zone.relays).sum(),
            claiming_relays: self.zones.iter().map(|zone| zone.relays * zone.claim).sum(),
            earlier_claims: self.zones.iter().filter(is_earlier).count() as u32,
            give_back_time,
            first_migration_time: (1e6 / migration_rate).min(MAX_MIGRATION_TIME) as Micros,
        };
    }
}
