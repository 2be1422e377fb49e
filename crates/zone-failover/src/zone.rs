//! What a relay knows of one zone.

use honeyknot_balancer::Micros;

use crate::config::ZoneFailoverConfig;
use crate::decaying_sum::DecayingSum;
use crate::zone_health::ZoneHealth;

/// Time after which load reports show a placed connection, in microseconds; own placements since then are added to
/// reports.
const REPORT_DELAY: f64 = 1e6;

/// Capacity of a zone, summed over its endpoints that are listed as ready, in weights.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneCapacity {
    /// All of them.
    pub(crate) listed: f64,
    /// Those that are not silent.
    pub(crate) usable: f64,
    /// Those that are not silent, as far as they have warmed up.
    pub(crate) warm: f64,
    /// Mean load over capacity by reports.
    pub(crate) load: f64,
    /// Whether an endpoint has responded.
    pub(crate) proven: bool,
}

/// One zone.
#[derive(Debug)]
pub(crate) struct Zone {
    pub(crate) health: ZoneHealth,
    pub(crate) capacity: ZoneCapacity,
    /// Most of its capacity that spilled connections may hold, as a share.
    pub(crate) spill_limit: f64,
    /// Number of relays whose home zone this is.
    pub(crate) relays: f64,
    /// It takes no spill until its load has fallen.
    pub(crate) spill_suspended: bool,
    /// Own placements that its reports do not show yet.
    pub(crate) recent_placements: DecayingSum,
    /// Since when several of its endpoints have been silent, while the others are checked.
    pub(crate) suspected_since: Option<Micros>,
    /// All of it is silent, by what this relay has observed.
    pub(crate) silent: bool,
    /// Share of its connections for which its relays claim capacity of other zones, from 0 to 1.
    pub(crate) claim: f64,
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
            silent: false,
            claim: 0.0,
        }
    }

    /// Returns its load over capacity: reports, and what this relay has placed since.
    pub(crate) fn load(&self, now: Micros, connection_load: f64) -> f64 {
        if self.capacity.warm <= 0.0 {
            return self.capacity.load;
        }
        self.capacity.load + self.recent_placements.value(now) * connection_load / self.capacity.warm
    }

    /// Whether it has claimed capacity for longer than a claim that began then.
    pub(crate) fn claims_since_before(&self, short_since: Micros) -> bool {
        self.claim > 0.0 && self.health.short_since().is_none_or(|since| since < short_since)
    }
}
