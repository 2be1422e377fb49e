//! Adds up what endpoints do in the observations, and the state of a zone for people.

use std::time::Duration;

use super::emulated_endpoint::ProcessState;
use super::environment::Environment;

/// Load over capacity up to which endpoints answer in time.
const FULL_LOAD: f64 = 0.85;

impl Environment {
    /// Adds a span of time to the observations.
    pub fn record_observations(&mut self, span: Duration) {
        let (now, span) = (self.now(), span.as_secs_f64());
        let wanted = self.active_clients.iter().sum::<u64>() as f64;
        let unaffected_clients =
            self.unaffected_zones.iter().map(|s| self.active_clients[*s]).sum::<u64>() as f64;
        let mut unaffected_good = 0.0;
        let (mut good, mut load, mut load_held, mut capacity) = (0.0, 0.0, 0.0, 0.0);
        let mut zones = vec![(0.0, 0.0); self.size.zones.len()];
        for endpoint in &self.endpoints {
            if *endpoint.process_state.borrow() != ProcessState::Serving {
                continue;
            }
            let model = &endpoint.model;
            good += model.connections() as f64 * model.in_time_fraction(now);
            let unaffected: usize = self.unaffected_zones.iter().map(|s| model.connections_from(*s)).sum();
            unaffected_good += unaffected as f64 * model.in_time_fraction(now);
            load += model.connections() as f64;
            load_held += model.total_load();
            capacity += model.capacity(now);
            zones[endpoint.zone].0 += model.cross_zone_load();
            zones[endpoint.zone].1 += model.capacity(now);
            if endpoint.has_restarted {
                self.endpoint_observations.worst_return_multiple =
                    self.endpoint_observations.worst_return_multiple.max(model.max_overload());
            }
        }
        self.endpoint_observations.wanted_s += wanted * span;
        self.endpoint_observations.unaffected_wanted_s += unaffected_clients * span;
        self.endpoint_observations.unaffected_well_served_s += unaffected_good.min(unaffected_clients) * span;
        self.endpoint_observations.well_served_s += good.min(wanted) * span;
        // What a connection costs with its part of the affinity groups, as things stand.
        let cost = if load >= 1.0 { (load_held / load).max(1.0) } else { 1.0 };
        self.endpoint_observations.attainable_s += wanted.min(capacity * FULL_LOAD / cost) * span;
        for (zone, (cross_zone_load, capacity)) in zones.into_iter().enumerate() {
            // A zone that is just coming back is judged by the rule on cold endpoints.
            let share = if capacity > 0.0 { cross_zone_load / capacity } else { 0.0 };
            if share > self.endpoint_observations.worst_spill {
                self.endpoint_observations.worst_spill = share;
                self.endpoint_observations.worst_spill_zone = self.size.zones[zone].clone();
            }
        }
    }

    /// Returns the state of a zone, for people.
    pub fn zone_state(&self, zone: usize) -> ZoneState {
        let now = self.now();
        let mut state = ZoneState::default();
        for endpoint in self.endpoints.iter().filter(|c| c.zone == zone) {
            match *endpoint.process_state.borrow() {
                ProcessState::Serving => {
                    state.serving += 1;
                    state.connections += endpoint.model.connections();
                    state.load += endpoint.model.total_load();
                    state.cross_zone_load += endpoint.model.cross_zone_load();
                    state.capacity += endpoint.model.capacity(now);
                }
                ProcessState::Silent => state.silent += 1,
                ProcessState::Dead => state.dead += 1,
            }
        }
        state
    }
}

/// What a zone holds.
#[derive(Clone, Debug, Default)]
pub struct ZoneState {
    /// Endpoints that serve, are silent, are dead.
    pub serving: usize,
    /// See `serving`.
    pub silent: usize,
    /// See `serving`.
    pub dead: usize,
    /// Connections.
    pub connections: usize,
    /// Load with affinity groups, that of foreign connections, and capacity, in usual connections.
    pub load: f64,
    /// See `load`.
    pub cross_zone_load: f64,
    /// See `load`.
    pub capacity: f64,
}
