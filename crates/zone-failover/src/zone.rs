//! State of a zone as seen by a relay.

use honeyknot_balancer::Micros;

use crate::config::ZoneFailoverConfig;
use crate::decaying_sum::DecayingSum;
use crate::zone_health::ZoneHealth;

/// Time after which load reports include a placed connection, in microseconds. Until then this relay adds its
/// own placements to the reported load.
const REPORT_DELAY: f64 = 1e6;

/// Capacity of a zone, summed over its endpoints that are listed as ready, in endpoint weights.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneCapacity {
    /// Capacity of all endpoints.
    pub(crate) listed: f64,
    /// Capacity of the responsive endpoints.
    pub(crate) usable: f64,
    /// Capacity of the responsive endpoints as far as they have warmed up.
    pub(crate) warm: f64,
    /// Mean reported load, as a share of capacity.
    pub(crate) load: f64,
    /// Whether any responsive endpoint has actually responded, so that it is not just assumed to be
    /// responsive.
    pub(crate) has_responded: bool,
}

/// A zone.
#[derive(Debug)]
pub(crate) struct Zone {
    pub(crate) health: ZoneHealth,
    pub(crate) capacity: ZoneCapacity,
    /// Maximum share of the zone's capacity that spilled connections may use.
    pub(crate) spill_limit: f64,
    /// Number of relays whose home zone this is.
    pub(crate) relays: f64,
    /// Whether the zone accepts no spill until its load has fallen.
    pub(crate) spill_suspended: bool,
    /// Number of this relay's placements that load reports do not include yet.
    pub(crate) recent_placements: DecayingSum,
    /// Since when enough endpoints have been unresponsive that the whole zone is suspected to be; `None` if
    /// it is not suspected.
    pub(crate) suspected_since: Option<Micros>,
    /// Whether this relay considers the whole zone unresponsive.
    pub(crate) unresponsive: bool,
    /// Share of the zone's connections that its relays need to place in other zones, from 0 to 1.
    pub(crate) spill_demand: f64,
}

impl Zone {
    pub(crate) fn new(
        config: &ZoneFailoverConfig, name: &str, fleet_size: f64, zones: usize, now: Micros,
    ) -> Zone {
        Zone {
            health: ZoneHealth::new(now),
            capacity: ZoneCapacity::default(),
            spill_limit: config.spill_limit_of(name),
            relays: config.relays_in(name, fleet_size, zones),
            spill_suspended: false,
            recent_placements: DecayingSum::new(REPORT_DELAY, now),
            suspected_since: None,
            unresponsive: false,
            spill_demand: 0.0,
        }
    }

    /// Returns the load of the zone, as a share of its capacity: the reported load and this relay's
    /// placements since.
    pub(crate) fn load(&self, now: Micros, connection_load: f64) -> f64 {
        if self.capacity.warm <= 0.0 {
            return self.capacity.load;
        }
        self.capacity.load + self.recent_placements.value(now) * connection_load / self.capacity.warm
    }

    /// Returns whether the zone has spill demand that began before a shortage that began at `shortage_since`.
    pub(crate) fn has_spill_demand_since_before(&self, shortage_since: Micros) -> bool {
        self.spill_demand > 0.0 && self.health.shortage_since().is_none_or(|since| since < shortage_since)
    }
}
