//! Admission: decides in which zones a new connection may be placed.

use honeyknot_balancer::{AffinityGroup, Micros, ZoneId, ZoneSet};

use crate::action::ZoneDecision;
use crate::failover::ZoneFailover;
use crate::recovery_ramp::RAMP_BURST;
use crate::zone_health::ZoneState;

/// Maximum number of new connections that may leave the home zone in a burst, beyond the configured share.
pub(crate) const LEAVE_BURST: f64 = 5.0;

impl ZoneFailover {
    /// Decides in which zones a new connection may be placed.
    ///
    /// `group` is its affinity group, `None` if it has none.
    pub fn admit(&mut self, now: Micros, group: Option<&AffinityGroup>) -> ZoneDecision {
        self.leave_tokens = (self.leave_tokens + self.config.leave_limit).min(LEAVE_BURST);
        let mut zones = ZoneSet::EMPTY;
        if self.home_admits(now) {
            zones = zones.with(self.home_zone);
        }
        if self.home_spills(now) && self.leave_tokens >= 1.0 {
            zones = self.with_first_open_tier(zones, now, group);
        }
        if zones == ZoneSet::EMPTY {
            let rate = self.recent_admissions.rate_per_second(now);
            return ZoneDecision::Reject {
                retry_after: self.retry_after.next_delay(now, rate, &mut self.rng),
            };
        }
        ZoneDecision::Allow(zones)
    }

    /// Returns whether the home zone takes one more connection. During its recovery the ramp limits the rate.
    fn home_admits(&mut self, now: Micros) -> bool {
        match self.home().health.state() {
            ZoneState::Up { .. } if !self.list_is_cached => true,
            ZoneState::Up { .. } | ZoneState::Recovering { .. } => {
                let rate = self.ramp_rate(now);
                self.ramp_bucket.refill(now, rate, RAMP_BURST);
                self.ramp_bucket.has_token()
            }
            ZoneState::Lost { .. } | ZoneState::HeldDown { .. } => false,
        }
    }

    /// Returns whether new connections may go to zones other than the home zone.
    fn home_spills(&self, now: Micros) -> bool {
        !self.home().health.is_up()
            || self.list_is_cached
            || self.zone_load(self.home_zone, now) >= self.config.spill_threshold
    }

    /// Adds to `zones` the zones of the first tier in which any zone accepts the connection.
    fn with_first_open_tier(&self, zones: ZoneSet, now: Micros, group: Option<&AffinityGroup>) -> ZoneSet {
        for tier in &self.tiers {
            let open = tier.iter().filter(|zone| self.accepts_spill(**zone, now, group));
            let extended = open.fold(zones, |set, zone| set.with(*zone));
            if extended != zones {
                return extended;
            }
        }
        zones
    }

    /// Returns whether a zone accepts one more spilled connection of this relay.
    fn accepts_spill(&self, zone_id: ZoneId, now: Micros, group: Option<&AffinityGroup>) -> bool {
        let zone = &self.zones[zone_id.0];
        // A cached list may be outdated, so an endpoint of the zone must have responded.
        let is_confirmed = !self.list_is_cached || zone.capacity.has_responded;
        let is_overloaded =
            zone.spill_suspended || self.zone_load(zone_id, now) >= self.config.receive_threshold;
        if !zone.health.is_up() || !is_confirmed || is_overloaded {
            return false;
        }
        let group_cost = self.config.affinity_group_cost;
        let is_new_group = group.is_some_and(|group| !self.spilled.has_group(zone_id, group));
        let units = 1.0 + if is_new_group { group_cost } else { 0.0 };
        let used = self.spilled.used(zone_id, group_cost) + units;
        used * self.config.connection_load <= self.spill_allowance(zone_id, now)
    }
}
