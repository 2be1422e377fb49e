//! What simulated relays do at intervals and at the request of their zone failover.

use honeyknot_balancer::{EndpointId, Micros};
use honeyknot_zone_failover::{EndpointSignal, ZoneAction};

use super::TICK_INTERVAL;
use super::state::SimulationRun;

/// Interval at which relays receive the load reports of their own zone.
const REPORT_INTERVAL: Micros = 1_500_000;

impl SimulationRun {
    /// Runs every relay's zone failover, and gives it its own zone's load reports where they are due.
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
            if self.endpoints[endpoint].up {
                let report = self.endpoints[endpoint].model.report(self.now);
                let id = self.endpoints[endpoint].id.clone();
                self.relays[relay].load_reported(self.now, &id, report.utilization);
            }
        }
    }

    /// Carries out what a relay's zone failover asks for.
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

    /// Checks an endpoint's health at once.
    fn check_health(&mut self, relay: usize, id: &EndpointId) {
        let Some(endpoint) = self.by_id.get(id).copied() else { return };
        let alive = self.endpoints[endpoint].up;
        let signal = if alive { EndpointSignal::Responsive } else { EndpointSignal::Unresponsive };
        let mut out = Vec::new();
        self.relays[relay].endpoint_signal_received(self.now, id, signal, &mut out);
        if alive {
            let report = self.endpoints[endpoint].model.report(self.now);
            self.relays[relay].load_reported(self.now, id, report.utilization);
        }
        self.perform(relay, out);
    }
}
