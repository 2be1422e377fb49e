//! Runs the zone failover of simulated relays at intervals and performs the actions that it returns.

use honeyknot_balancer::{EndpointId, Micros};
use honeyknot_zone_failover::{EndpointSignal, ZoneAction};

use super::TICK_INTERVAL;
use super::state::SimulationRun;

/// Interval at which relays receive the load reports of their home zone, in microseconds.
const REPORT_INTERVAL: Micros = 1_500_000;

impl SimulationRun {
    /// Runs the zone failover of every relay, and delivers the load reports of its home zone when they are
    /// due.
    pub(super) fn tick(&mut self) {
        for relay in 0..self.relays.len() {
            if (self.now + relay as Micros * TICK_INTERVAL).is_multiple_of(REPORT_INTERVAL) {
                self.report_home_loads(relay);
            }
            let mut actions = Vec::new();
            self.relays[relay].tick(self.now, &mut actions);
            self.perform(relay, actions);
        }
    }

    fn report_home_loads(&mut self, relay: usize) {
        for endpoint in self.by_zone[self.home_zone(relay)].clone() {
            if self.endpoints[endpoint].is_running {
                let report = self.endpoints[endpoint].model.report(self.now);
                let id = self.endpoints[endpoint].id.clone();
                self.relays[relay].load_reported(self.now, &id, report.utilization);
            }
        }
    }

    /// Performs the actions returned by a relay's zone failover.
    pub(super) fn perform(&mut self, relay: usize, actions: Vec<ZoneAction>) {
        for action in actions {
            match action {
                ZoneAction::Log(_) => {}
                ZoneAction::MigrateConnection(id) => {
                    if let Some(client) = self.remove(relay, id) {
                        self.report.migrations += 1;
                        *self.migrations_by_second.entry(self.now / 1_000_000).or_default() += 1;
                        self.reconnect_later(client);
                    }
                }
                ZoneAction::CheckHealth(id) => self.check_health(relay, &id),
            }
        }
    }

    /// Checks the health of an endpoint; the result is available immediately.
    fn check_health(&mut self, relay: usize, id: &EndpointId) {
        let Some(endpoint) = self.by_id.get(id).copied() else { return };
        let alive = self.endpoints[endpoint].is_running;
        let signal = if alive { EndpointSignal::Responsive } else { EndpointSignal::Unresponsive };
        let mut actions = Vec::new();
        self.relays[relay].endpoint_signal_received(self.now, id, signal, &mut actions);
        if alive {
            let report = self.endpoints[endpoint].model.report(self.now);
            self.relays[relay].load_reported(self.now, id, report.utilization);
        }
        self.perform(relay, actions);
    }
}
