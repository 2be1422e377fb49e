//! Migrates spilled connections back to the home zone, or away from a zone that needs its capacity itself.

use honeyknot_balancer::{Micros, ZoneId};
use rand::Rng;

use crate::action::ZoneAction;
use crate::failover::ZoneFailover;
use crate::zone_health::ZoneState;

/// Minimum age of a connection that is migrated, in microseconds.
const MIN_CONNECTION_AGE: Micros = 2_000_000;
/// Factor by which a relay may exceed its spill allowance before it migrates connections away.
const ALLOWANCE_TOLERANCE: f64 = 1.1;

impl ZoneFailover {
    /// Migrates connections, limited by this relay's share of the migration rate.
    pub(crate) fn migrate_connections(&mut self, now: Micros, actions: &mut Vec<ZoneAction>) {
        let returns_home = self.home_accepts_returns(now);
        let overcommitted_zone = self.overcommitted_zone(now);
        self.migration_bucket.refill(now, self.config.migrations_per_second / self.fleet_size, 1.0);
        let migrating = overcommitted_zone.is_some() || returns_home && self.spilled.established_count() > 0;
        // Each relay may have a saved token; they must not all use it at the same time.
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

    /// Returns whether spilled connections may return to the home zone.
    fn home_accepts_returns(&self, now: Micros) -> bool {
        let state = self.home().health.state();
        let is_settled = matches!(state, ZoneState::Up { rebalance_from } if now >= rebalance_from);
        let has_spare_capacity = self.zone_load(self.home_zone, now) < self.config.rebalance_threshold;
        is_settled && !self.list_is_cached && has_spare_capacity
    }

    /// Returns a zone from which this relay must migrate connections away; `None` if there is none.
    fn overcommitted_zone(&self, now: Micros) -> Option<ZoneId> {
        let zones = (0..self.zones.len()).map(ZoneId);
        zones.filter(|zone| *zone != self.home_zone).find(|zone| self.must_give_back(*zone, now))
    }

    /// Returns whether this relay must migrate connections away from a zone: the zone is overloaded, or this
    /// relay uses more of it than its allowance.
    ///
    /// Exceeding the allowance does not count for a relay whose home zone has no shortage: it returns its
    /// connections there instead.
    fn must_give_back(&self, zone: ZoneId, now: Micros) -> bool {
        let is_overloaded = self.zone_load(zone, now) >= self.config.give_back_threshold;
        let used = self.spilled.used(zone, self.config.affinity_group_cost) * self.config.connection_load;
        let exceeds_allowance = used > self.spill_allowance(zone, now) * ALLOWANCE_TOLERANCE
            && self.home().health.shortage_since().is_some();
        (is_overloaded || exceeds_allowance) && self.spilled.established_at(zone) > 0
    }
}
