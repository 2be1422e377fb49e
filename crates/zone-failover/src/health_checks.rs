//! Requests health checks of unresponsive endpoints and of endpoints in zones that may receive spill.

use std::collections::BTreeSet;

use honeyknot_balancer::{Micros, ZoneId};
use rand::Rng;

use crate::action::ZoneAction;
use crate::failover::ZoneFailover;

/// Interval between health checks of endpoints that may be unresponsive, in microseconds.
const UNRESPONSIVE_CHECK_INTERVAL: Micros = 500_000;
/// Age of a load report from which endpoints of zones that may receive spill are checked, and the interval
/// between those checks; in microseconds.
const LOAD_CHECK_INTERVAL: Micros = 1_500_000;

impl ZoneFailover {
    /// Requests the health checks that are due.
    pub(crate) fn request_health_checks(&mut self, now: Micros, actions: &mut Vec<ZoneAction>) {
        let spill_zones = self.spill_zones(now);
        for (id, endpoint) in self.endpoints.iter_mut().filter(|(_, endpoint)| endpoint.ready) {
            let may_be_unresponsive =
                endpoint.consecutive_failures > 0 || self.zones[endpoint.zone.0].suspected_since.is_some();
            let needs_load = spill_zones.contains(&endpoint.zone)
                && endpoint.load.is_none_or(|sample| now >= sample.reported_at + LOAD_CHECK_INTERVAL);
            let interval = if may_be_unresponsive {
                UNRESPONSIVE_CHECK_INTERVAL
            } else if needs_load {
                LOAD_CHECK_INTERVAL
            } else {
                continue;
            };
            if now >= endpoint.health_check_requested_at + interval {
                endpoint.health_check_requested_at = now - self.rng.random_range(0..=interval / 4);
                actions.push(ZoneAction::CheckHealth(id.clone()));
            }
        }
    }

    /// Returns the zones that may receive spill of the home zone now; none if it does not spill and this
    /// relay has no spilled connections.
    fn spill_zones(&self, now: Micros) -> BTreeSet<ZoneId> {
        let home_spills =
            !self.home().health.is_up() || self.zone_load(self.home_zone, now) >= self.config.spill_threshold;
        if home_spills || self.spilled.established_count() > 0 {
            self.tiers.iter().flatten().copied().collect()
        } else {
            BTreeSet::new()
        }
    }
}
