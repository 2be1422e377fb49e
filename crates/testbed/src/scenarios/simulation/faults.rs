//! Applies the fault steps of a scenario to simulated endpoints.

use honeyknot_balancer::{EndpointState, RequestId};

use super::state::SimulationRun;
use crate::emulators::endpoint_model::EndpointModel;
use crate::scenarios::scenario::FaultStep;

impl SimulationRun {
    /// Applies one step of the scenario.
    pub(super) fn apply(&mut self, step: FaultStep) {
        let zones = self.zones();
        match step {
            FaultStep::Kill { zone, survivors } => {
                let stopped: Vec<usize> =
                    self.by_zone[zone % zones].iter().copied().skip(survivors).collect();
                self.stop_endpoints(&stopped);
                self.publish(&stopped, EndpointState::Removed, false);
            }
            FaultStep::Silence(zone) => {
                let stopped = self.by_zone[zone % zones].clone();
                self.stop_endpoints(&stopped);
            }
            FaultStep::Return { zone, max_count, in_one_update } => {
                let returning = self.by_zone[zone % zones]
                    .iter()
                    .copied()
                    .filter(|index| !self.endpoints[*index].is_running);
                let returning: Vec<usize> = returning.take(max_count).collect();
                for endpoint in &returning {
                    let endpoint = &mut self.endpoints[*endpoint];
                    endpoint.model = EndpointModel::new(endpoint.model.parameters().clone(), self.now);
                    endpoint.is_running = true;
                }
                self.publish(&returning, EndpointState::Ready, in_one_update);
            }
            // `simulate` rejects scenarios with this step.
            FaultStep::KillRelays(_) => {}
            FaultStep::Surge(zone, factor) => self.arrival_factor[zone % zones] = factor,
            FaultStep::Drain(zone) => {
                let drained: Vec<usize> = self.by_zone[zone % zones].iter().copied().take(1).collect();
                self.publish(&drained, EndpointState::Draining, true);
            }
        }
    }

    /// Stops these endpoints and breaks their connections.
    fn stop_endpoints(&mut self, endpoints: &[usize]) {
        for endpoint in endpoints {
            self.report.endpoints_collapsed += u64::from(self.endpoints[*endpoint].model.collapsed());
            self.endpoints[*endpoint].is_running = false;
        }
        let broken: Vec<(usize, RequestId)> = self
            .established
            .iter()
            .filter(|(_, connection)| !self.endpoints[connection.endpoint].is_running)
            .map(|(key, _)| *key)
            .collect();
        for (relay, id) in broken {
            if let Some(client) = self.remove(relay, id) {
                self.reconnect_later(client);
            }
        }
        for endpoint in endpoints {
            let endpoint = &mut self.endpoints[*endpoint];
            endpoint.model =
                EndpointModel::new(endpoint.model.parameters().clone(), endpoint.model.started_at());
        }
    }
}
