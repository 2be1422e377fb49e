//! Accumulates what the endpoints do in the observations, and summarizes the state of a zone for people.

use std::time::Duration;

use super::emulated_endpoint::ProcessState;
use super::environment::Environment;

/// Utilization up to which endpoints answer all messages in time.
const FULL_SERVICE_UTILIZATION: f64 = 0.85;

impl Environment {
    /// Adds the time since the last call, `span`, to the observations.
    pub fn record_observations(&mut self, span: Duration) {
        let (now, span) = (self.now(), span.as_secs_f64());
        let wanted = self.active_clients.iter().sum::<u64>() as f64;
        let unaffected_clients =
            self.unaffected_zones.iter().map(|zone| self.active_clients[*zone]).sum::<u64>() as f64;
        let mut unaffected_well_served = 0.0;
        let (mut well_served, mut connections, mut total_load, mut capacity) = (0.0, 0.0, 0.0, 0.0);
        let mut zones = vec![(0.0, 0.0); self.size.zones.len()];
        for endpoint in &self.endpoints {
            if *endpoint.process_state.borrow() != ProcessState::Serving {
                continue;
            }
            let model = &endpoint.model;
            well_served += model.connections() as f64 * model.in_time_fraction(now);
            let unaffected: usize =
                self.unaffected_zones.iter().map(|zone| model.connections_from(*zone)).sum();
            unaffected_well_served += unaffected as f64 * model.in_time_fraction(now);
            connections += model.connections() as f64;
            total_load += model.total_load();
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
        self.endpoint_observations.unaffected_well_served_s +=
            unaffected_well_served.min(unaffected_clients) * span;
        self.endpoint_observations.well_served_s += well_served.min(wanted) * span;
        // Current load per connection, including its share of the cost of affinity groups.
        let cost = if connections >= 1.0 { (total_load / connections).max(1.0) } else { 1.0 };
        self.endpoint_observations.attainable_s +=
            wanted.min(capacity * FULL_SERVICE_UTILIZATION / cost) * span;
        for (zone, (cross_zone_load, capacity)) in zones.into_iter().enumerate() {
            // A zone without capacity counts as 0: `worst_return_multiple` checks the load on its restarted
            // endpoints.
            let share = if capacity > 0.0 { cross_zone_load / capacity } else { 0.0 };
            if share > self.endpoint_observations.worst_spill {
                self.endpoint_observations.worst_spill = share;
                self.endpoint_observations.worst_spill_zone = self.size.zones[zone].clone();
            }
        }
    }

    /// Returns a summary of a zone for people.
    pub fn zone_state(&self, zone: usize) -> ZoneState {
        let now = self.now();
        let mut state = ZoneState::default();
        for endpoint in self.endpoints.iter().filter(|endpoint| endpoint.zone == zone) {
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

/// A summary of a zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneState {
    /// Number of endpoints that serve connections.
    pub serving: usize,
    /// Number of endpoints that do not respond.
    pub silent: usize,
    /// Number of endpoints whose process has died.
    pub dead: usize,
    /// Number of connections to the zone's endpoints.
    pub connections: usize,
    /// Load including affinity groups, in average connections.
    pub load: f64,
    /// Load of connections from relays of other zones, in average connections.
    pub cross_zone_load: f64,
    /// Capacity of the endpoints that serve, in average connections.
    pub capacity: f64,
}
