//! The state of one relay's part, its creation and reconfiguration.

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
use crate::spill_limit::ClaimTotals;
use crate::spilled_connections::SpilledConnections;
use crate::token_bucket::TokenBucket;
use crate::zone::Zone;
use crate::zone_health::ZoneState;

/// Time constant of the rate of admitted connections, in microseconds.
const ADMISSION_RATE_TIME: f64 = 3e6;
/// Keeps these draws apart from those of other parts with the same seed.
const SEED_SALT: u64 = 0x0051_74e5;

/// One relay's part in zone failover.
#[derive(Debug)]
pub struct ZoneFailover {
    pub(crate) config: ZoneFailoverConfig,
    pub(crate) zone_names: Vec<String>,
    pub(crate) home_zone: ZoneId,
    /// Zones that take the home zone's spill, by tier.
    pub(crate) tiers: Vec<Vec<ZoneId>>,
    pub(crate) fleet_size: f64,
    /// Duration of the recovery ramp, in microseconds.
    pub(crate) ramp_duration: Micros,
    pub(crate) slow_start_duration: Micros,
    pub(crate) initial_capacity: f64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointRecord>,
    pub(crate) zones: Vec<Zone>,
    pub(crate) spilled: SpilledConnections,
    /// How many more new connections may leave the home zone.
    pub(crate) leave_tokens: f64,
    pub(crate) ramp_bucket: TokenBucket,
    pub(crate) migration_bucket: TokenBucket,
    pub(crate) retry_after: RetryAfterSchedule,
    pub(crate) recent_admissions: DecayingSum,
    /// There are connections to migrate.
    pub(crate) migrating: bool,
    /// The affinity group whose connections are being migrated.
    pub(crate) migrating_group: Option<AffinityGroup>,
    /// The endpoint list is from before the start.
    pub(crate) list_is_cached: bool,
    pub(crate) local_fault_suspected: bool,
    pub(crate) claims: ClaimTotals,
    pub(crate) mean_load: MeanConnectionLoad,
}

impl ZoneFailover {
    /// Creates a relay's part without endpoints; the endpoint list arrives as an update.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too many zones, the home zone is not among them, or the configuration says
    /// that no relay stands in it.
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
            claims: ClaimTotals::default(),
            mean_load: MeanConnectionLoad::default(),
            config,
            zone_names,
            home_zone,
        })
    }

    /// Takes another configuration; what is known of zones and connections stays.
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

    /// Returns a zone's name, `?` for an unknown zone.
    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zone_names.get(zone.0).map_or("?", String::as_str)
    }

    /// Returns a zone's state.
    pub fn zone_state(&self, zone: ZoneId) -> Option<ZoneState> {
        self.zones.get(zone.0).map(|zone| zone.health.state())
    }

    /// Returns the number of this relay's established connections to other zones.
    pub fn spilled_count(&self) -> usize {
        self.spilled.established_count()
    }

    /// Does the periodic work; to be called about five times a second.
    pub fn tick(&mut self, now: Micros, actions: &mut Vec<ZoneAction>) {
        self.survey_capacity(now, actions);
        self.request_health_checks(now, actions);
        self.migrate_connections(now, actions);
    }

    pub(crate) fn home(&self) -> &Zone {
        &self.zones[self.home_zone.0]
    }

    /// Returns a zone's load over capacity.
    pub(crate) fn zone_load(&self, zone: ZoneId, now: Micros) -> f64 {
        self.zones[zone.0].load(now, self.config.connection_load)
    }
}
