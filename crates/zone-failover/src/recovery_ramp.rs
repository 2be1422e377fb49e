//! The pace at which a recovering home zone takes new connections.

use honeyknot_balancer::Micros;

use crate::failover::ZoneFailover;
use crate::zone_health::ZoneState;

/// Multiple of the pace that fills the zone over its ramp, scaled by the ramp's progress. It stays below the
/// multiple of 3 at which cold endpoints are overloaded, as relays never get equal shares.
const RAMP_MARGIN: f64 = 2.0;
/// Tokens of a ramp that may accumulate.
pub(crate) const RAMP_BURST: f64 = 2.0;
/// Least share of their capacity that endpoints are assumed to start with.
const MIN_INITIAL_CAPACITY: f64 = 0.05;

impl ZoneFailover {
    /// Returns the new connections a second that this relay may send to its home zone during the recovery ramp.
    pub(crate) fn ramp_rate(&self, now: Micros) -> f64 {
        let home = self.home();
        if !self.list_is_cached && !self.ramp_has_begun(now) {
            return 0.0;
        }
        let progress = if self.list_is_cached { 0.0 } else { home.health.ramp_progress(now).min(1.0) };
        let initial = self.initial_capacity.max(MIN_INITIAL_CAPACITY);
        let warm_share = initial + (1.0 - initial) * progress;
        let connections = home.capacity.usable / self.config.connection_load;
        let pace = connections / (self.ramp_duration.max(1) as f64 / 1e6);
        RAMP_MARGIN * pace * warm_share / home.relays.max(1.0)
    }

    fn ramp_has_begun(&self, now: Micros) -> bool {
        !matches!(self.home().health.state(), ZoneState::Recovering { from, .. } if now < from)
    }
}
