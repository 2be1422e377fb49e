//! Tracks this relay's attempts and connections.

use honeyknot_balancer::{AffinityGroup, EndpointId, Micros, RequestId};

use crate::failover::ZoneFailover;
use crate::spilled_connections::SpilledConnection;

/// Maximum number of samples that the mean load of connections is averaged over.
const MAX_LOAD_SAMPLES: u32 = 200;
/// Minimum load of a connection, in average connections.
const MIN_CONNECTION_UNITS: f64 = 0.1;
/// Maximum load of a connection, in average connections.
const MAX_CONNECTION_UNITS: f64 = 10.0;

/// Running mean of the load of connections, in the unit that endpoints report.
#[derive(Debug, Default)]
pub(crate) struct MeanConnectionLoad {
    mean: f64,
    samples: u32,
}

impl MeanConnectionLoad {
    /// Adds a sample and returns the new mean.
    fn add(&mut self, load: f64) -> f64 {
        self.samples = (self.samples + 1).min(MAX_LOAD_SAMPLES);
        self.mean += (load - self.mean) / f64::from(self.samples);
        self.mean
    }
}

impl ZoneFailover {
    /// Records that the balancer has started an attempt to establish a connection to an endpoint.
    ///
    /// It replaces an earlier attempt for the same connection.
    pub fn attempt_started(
        &mut self, now: Micros, id: RequestId, endpoint: &EndpointId, group: Option<&AffinityGroup>,
    ) {
        self.spilled.remove(id);
        let Some(zone_id) = self.endpoints.get(endpoint).map(|endpoint| endpoint.zone) else { return };
        let zone = &mut self.zones[zone_id.0];
        zone.recent_placements.increment(now);
        self.recent_admissions.increment(now);
        if zone_id == self.home_zone {
            if !zone.health.is_up() || self.list_is_cached {
                self.ramp_bucket.take();
            }
            return;
        }
        self.leave_tokens -= 1.0;
        let connection = SpilledConnection {
            endpoint: endpoint.clone(),
            zone: zone_id,
            group: group.cloned(),
            units: 1.0,
            since: now,
        };
        self.spilled.insert(id, connection);
    }

    /// Records a connection to an endpoint that was established before this relay process started.
    pub fn connection_adopted(
        &mut self, now: Micros, id: RequestId, endpoint: &EndpointId, group: Option<&AffinityGroup>,
    ) {
        if self.endpoints.get(endpoint).is_some_and(|endpoint| endpoint.zone != self.home_zone) {
            self.attempt_started(now, id, endpoint, group);
            self.spilled.establish(id, now);
        }
    }

    /// Records that a connection has been established to the endpoint of its last attempt.
    pub fn connection_established(&mut self, now: Micros, id: RequestId) {
        self.spilled.establish(id, now);
    }

    /// Records that a connection or an attempt has ended.
    pub fn connection_ended(&mut self, id: RequestId) {
        self.spilled.remove(id);
    }

    /// Records the load of a connection, in the unit that endpoints report.
    pub fn connection_load_reported(&mut self, id: RequestId, load: f64) {
        if !load.is_finite() || load < 0.0 {
            return;
        }
        let mean = self.mean_load.add(load);
        if mean > 0.0 {
            self.spilled.set_load(id, (load / mean).clamp(MIN_CONNECTION_UNITS, MAX_CONNECTION_UNITS));
        }
    }
}
