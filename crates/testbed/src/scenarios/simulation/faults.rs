//! The steps of a scenario, applied to simulated endpoints.

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
                let down: Vec<usize> = self.by_zone[zone % zones].iter().copied().skip(survivors).collect();
                self.end(&down);
                self.publish(&down, EndpointState::Removed, false);
            }
            FaultStep::Silence(zone) => {
                let down = self.by_zone[zone % zones].clone();
                self.end(&down);
            }
            FaultStep::Return { zone, max_count, in_one_update } => {
                let back = self.by_zone[zone % zones].iter().copied().filter(|n| !self.endpoints[*n].up);
                let back: Vec<usize> = back.take(max_count).collect();
                for endpoint in &back {
                    let endpoint = &mut self.endpoints[*endpoint];
                    endpoint.model = EndpointModel::new(endpoint.model.parameters().clone(), self.now);
                    endpoint.up = true;
                }
                self.publish(&back, EndpointState::Ready, in_one_update);
            }
            // `simulate` rejects the scenarios that have it.
            FaultStep::KillRelays(_) => {}
            FaultStep::Surge(zone, factor) => self.arrival_factor[zone % zones] = factor,
            FaultStep::Drain(zone) => {
                let one: Vec<usize> = self.by_zone[zone % zones].iter().copied().take(1).collect();
                self.publish(&one, EndpointState::Draining, true);
            }
        }
    }

    /// Ends the processes of endpoints and breaks their connections.
    fn end(&mut self, endpoints: &[usize]) {
        for endpoint in endpoints {
            self.report.endpoints_collapsed += u64::from(self.endpoints[*endpoint].model.collapsed());
            self.endpoints[*endpoint].up = false;
        }
        let broken: Vec<(usize, RequestId)> = self
            .established
            .iter()
            .filter(|(_, s)| !self.endpoints[s.endpoint].up)
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
