//! Migrates connections back to the home zone, or away from a zone that needs its capacity.

use honeyknot_balancer::{Micros, ZoneId};
use rand::Rng;

use crate::action::ZoneAction;
use crate::failover::ZoneFailover;
use crate::zone_health::ZoneState;

/// Least age of a connection that is migrated, in microseconds.
const MIN_CONNECTION_AGE: Micros = 2_000_000;
/// Factor by which a relay may exceed its spill allowance before it gives capacity back.
const ALLOWANCE_TOLERANCE: f64 = 1.1;

impl ZoneFailover {
    /// Migrates connections within the rate of migrations.
    pub(crate) fn migrate_connections(&mut self, now: Micros, actions: &mut Vec<ZoneAction>) {
        let returns_home = self.home_takes_back(now);
        let overcommitted_zone = self.overcommitted_zone(now);
        self.migration_bucket.refill(now, self.config.migrations_per_second / self.fleet_size, 1.0);
        let migrating = overcommitted_zone.is_some() || returns_home && self.spilled.established_count() > 0;
        // Relays that each have saved a token must not all use it at the same time.
        if migrating && !std::mem::replace(&mut self.migrating, migrating) {
            self.migration_bucket.scale(self.rng.random());
        }
        self.migrating = migrating;
        if overcommitted_zone.is_none() && !returns_home {
            return;
        }
        while self.migration_bucket.has_token() {
            let group = &self.migrating_group;
            let next = self.spilled.next_to_migrate(overcommitted_zone, group, now, MIN_CONNECTION_AGE);
            let Some((group, id)) = next else { return };
            self.migrating_group = group;
            self.migration_bucket.take();
            self.spilled.remove(id);
            actions.push(ZoneAction::MigrateConnection(id));
        }
    }

    /// Whether spilled connections return to the home zone.
    fn home_takes_back(&self, now: Micros) -> bool {
        let state = self.home().health.state();
        let is_settled = matches!(state, ZoneState::Up { rebalance_from } if now >= rebalance_from);
        let has_room = self.zone_load(self.home_zone, now) < self.config.rebalance_threshold;
        is_settled && !self.list_is_cached && has_room
    }

    /// Returns a zone to which this relay gives back capacity.
    fn overcommitted_zone(&self, now: Micros) -> Option<ZoneId> {
        let zones = (0..self.zones.len()).map(ZoneId);
        zones.filter(|zone| *zone != self.home_zone).find(|zone| self.must_give_back(*zone, now))
    }

    /// Whether a zone needs its capacity, or this relay holds more of it than its allowance.
    ///
    /// A relay whose home zone is up returns its connections there instead.
    fn must_give_back(&self, zone: ZoneId, now: Micros) -> bool {
        let is_overloaded = self.zone_load(zone, now) >= self.config.give_back_threshold;
        let used = self.spilled.used(zone, self.config.affinity_group_cost) * self.config.connection_load;
        let exceeds_allowance = used > self.spill_allowance(zone, now) * ALLOWANCE_TOLERANCE
            && self.home().health.short_since().is_some();
        (is_overloaded || exceeds_allowance) && self.spilled.established_at(zone) > 0
    }
}
