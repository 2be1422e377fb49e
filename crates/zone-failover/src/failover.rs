//! State of zone failover in a relay, its creation and reconfiguration.

use std::collections::BTreeMap;

use honeyknot_balancer::{AffinityGroup, EndpointId, Micros, ZoneId, ZoneSet};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::action::ZoneAction;
use crate::admission::LEAVE_BURST;
use crate::config::ZoneFailoverConfig;
use crate::connections::MeanConnectionLoad;
use crate::decaying_sum::DecayingSum;
use crate::endpoint::EndpointRecord;
use crate::error::ZoneFailoverError;
use crate::recovery_ramp::RAMP_BURST;
use crate::retry_after::RetryAfterSchedule;
use crate::setup::ZoneFailoverSetup;
use crate::spill_limit::SpillDemandTotals;
use crate::spilled_connections::SpilledConnections;
use crate::token_bucket::TokenBucket;
use crate::zone::Zone;
use crate::zone_health::ZoneState;

/// Time constant of the rate of admitted connections, in microseconds.
const ADMISSION_RATE_TIME: f64 = 3e6;
/// Makes the random numbers differ from those of other components with the same seed.
const SEED_SALT: u64 = 0x0051_74e5;

/// Zone failover of one relay.
#[derive(Debug)]
pub struct ZoneFailover {
    pub(crate) config: ZoneFailoverConfig,
    pub(crate) zone_names: Vec<String>,
    pub(crate) home_zone: ZoneId,
    /// Zones that may receive spill of the home zone, by tier, most preferred tier first.
    pub(crate) tiers: Vec<Vec<ZoneId>>,
    /// Number of relays in the fleet, at least 1.
    pub(crate) fleet_size: f64,
    /// Duration of the recovery ramp, in microseconds.
    pub(crate) ramp_duration: Micros,
    /// Time from its start until an endpoint has its full capacity, in microseconds.
    pub(crate) slow_start_duration: Micros,
    /// Minimum share of its capacity that an endpoint has at its start.
    pub(crate) initial_capacity: f64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointRecord>,
    pub(crate) zones: Vec<Zone>,
    pub(crate) spilled: SpilledConnections,
    /// Number of further connections that may leave the home zone, limited by `leave_limit`; negative if
    /// attempts have exceeded the limit.
    pub(crate) leave_tokens: f64,
    pub(crate) ramp_bucket: TokenBucket,
    pub(crate) migration_bucket: TokenBucket,
    pub(crate) retry_after: RetryAfterSchedule,
    pub(crate) recent_admissions: DecayingSum,
    /// Whether connections are being migrated.
    pub(crate) migrating: bool,
    /// Affinity group whose connections are being migrated; `None` for connections without a group.
    pub(crate) migrating_group: Option<AffinityGroup>,
    /// Whether the endpoint list is a cached one from before the relay's start.
    pub(crate) list_is_cached: bool,
    pub(crate) local_fault_suspected: bool,
    pub(crate) spill_demand_totals: SpillDemandTotals,
    pub(crate) mean_load: MeanConnectionLoad,
}

impl ZoneFailover {
    /// Creates the zone failover of a relay without endpoints. The endpoint list arrives as an update.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too many zones, the home zone is not among them, or the configuration
    /// says that there are no relays in it.
    pub fn new(setup: ZoneFailoverSetup, now: Micros) -> Result<ZoneFailover, ZoneFailoverError> {
        let ZoneFailoverSetup { config, zone_names, home_zone, .. } = setup;
        if zone_names.len() > ZoneSet::MAX_ZONES {
            return Err(ZoneFailoverError::TooManyZones { count: zone_names.len() });
        }
        let home_name = zone_names.get(home_zone.0).ok_or(ZoneFailoverError::UnknownHomeZone)?;
        let fleet_size = f64::from(setup.fleet_size.max(1));
        let new_zone = |name: &String| Zone::new(&config, name, fleet_size, zone_names.len(), now);
        let zones: Vec<Zone> = zone_names.iter().map(new_zone).collect();
        if zones[home_zone.0].relays < 1.0 && config.relays_per_zone.contains_key(home_name) {
            return Err(ZoneFailoverError::NoRelayInHomeZone { zone: home_name.clone() });
        }
        Ok(ZoneFailover {
            tiers: config.tiers_of(home_zone, &zone_names),
            fleet_size,
            ramp_duration: config.ramp_duration.max(setup.slow_start_duration),
            slow_start_duration: setup.slow_start_duration,
            initial_capacity: setup.initial_capacity,
            rng: Pcg64Mcg::seed_from_u64(setup.seed ^ SEED_SALT),
            endpoints: BTreeMap::new(),
            zones,
            spilled: SpilledConnections::default(),
            leave_tokens: LEAVE_BURST,
            ramp_bucket: TokenBucket::new(RAMP_BURST, now),
            migration_bucket: TokenBucket::new(0.0, now),
            retry_after: RetryAfterSchedule::new(config.retry_after),
            recent_admissions: DecayingSum::new(ADMISSION_RATE_TIME, now),
            migrating: false,
            migrating_group: None,
            list_is_cached: true,
            local_fault_suspected: false,
            spill_demand_totals: SpillDemandTotals::default(),
            mean_load: MeanConnectionLoad::default(),
            config,
            zone_names,
            home_zone,
        })
    }

    /// Replaces the configuration. The state of zones and connections is kept.
    pub fn reconfigure(&mut self, config: ZoneFailoverConfig) {
        self.tiers = config.tiers_of(self.home_zone, &self.zone_names);
        for (zone, name) in self.zones.iter_mut().zip(&self.zone_names) {
            zone.spill_limit = config.spill_limit_of(name);
            zone.relays = config.relays_in(name, self.fleet_size, self.zone_names.len());
        }
        self.retry_after = RetryAfterSchedule::new(config.retry_after);
        self.ramp_duration = config.ramp_duration.max(self.slow_start_duration);
        self.config = config;
    }

    /// Returns the name of a zone; `?` if the zone is unknown.
    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zone_names.get(zone.0).map_or("?", String::as_str)
    }

    /// Returns the state of a zone; `None` if the zone is unknown.
    pub fn zone_state(&self, zone: ZoneId) -> Option<ZoneState> {
        self.zones.get(zone.0).map(|zone| zone.health.state())
    }

    /// Returns the number of this relay's established connections to other zones.
    pub fn spilled_count(&self) -> usize {
        self.spilled.established_count()
    }

    /// Does the periodic work. The caller calls this about five times a second.
    pub fn tick(&mut self, now: Micros, actions: &mut Vec<ZoneAction>) {
        self.aggregate_capacity(now, actions);
        self.request_health_checks(now, actions);
        self.migrate_connections(now, actions);
    }

    pub(crate) fn home(&self) -> &Zone {
        &self.zones[self.home_zone.0]
    }

    /// Returns the load of a zone, as a share of its capacity.
    pub(crate) fn zone_load(&self, zone: ZoneId, now: Micros) -> f64 {
        self.zones[zone.0].load(now, self.config.connection_load)
    }
}
