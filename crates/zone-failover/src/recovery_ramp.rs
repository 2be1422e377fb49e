//! Recovery ramp: the rate at which a recovering home zone takes new connections.

use honeyknot_balancer::Micros;

use crate::failover::ZoneFailover;
use crate::zone_health::ZoneState;

/// Factor by which the rate exceeds the one that fills the zone within the ramp's duration; the rate is also
/// scaled by the share of capacity that has warmed up. Endpoints that have just started are overloaded at a
/// factor of 3. This one stays below it because relays never get equal shares of the connections.
const RAMP_MARGIN: f64 = 2.0;
/// Maximum number of tokens of a ramp.
pub(crate) const RAMP_BURST: f64 = 2.0;
/// Minimum share of their capacity that endpoints are assumed to start with.
const MIN_INITIAL_CAPACITY: f64 = 0.05;

impl ZoneFailover {
    /// Returns the number of new connections a second that this relay may place in its home zone during the
    /// recovery ramp.
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
