//! Generates the new clients of a simulation.

use honeyknot_balancer::Micros;
use rand_distr::{Distribution, Exp, LogNormal, Poisson, Zipf};
use rand_pcg::Pcg64Mcg;

use super::state::{Client, SimulationRun};
use super::{CLOCK_STEP, Simulation};

/// Mean time for which a client wants its connection, in seconds.
const MEAN_CONNECTION_S: f64 = 35.0;
/// Minimum time for which a client wants its connection, in seconds.
const MIN_CONNECTION_S: f64 = 2.0;
/// Maximum load of a connection, in average connections.
const MAX_CONNECTION_LOAD: f64 = 4.0;
/// Number of adjacent zones whose clients share affinity groups.
const ZONES_PER_AFFINITY_GROUP: usize = 4;
/// Number of affinity groups per endpoint of the zones that share them.
const AFFINITY_GROUPS_PER_ENDPOINT: f64 = 0.8;
/// Minimum number of affinity groups.
const MIN_AFFINITY_GROUPS: f64 = 4.0;

/// The random distributions from which new clients are drawn.
pub(super) struct ClientGenerator {
    /// New clients per second in all zones.
    clients_per_second: f64,
    duration_s: Exp<f64>,
    affinity_group: Zipf<f64>,
    load: LogNormal<f64>,
}

impl ClientGenerator {
    /// Creates the distributions for a fleet of the given capacity, in average connections.
    pub(super) fn new(simulation: &Simulation, capacity: f64) -> Result<ClientGenerator, String> {
        let affinity_groups = (simulation.endpoints as f64 / simulation.zones as f64
            * ZONES_PER_AFFINITY_GROUP as f64
            * AFFINITY_GROUPS_PER_ENDPOINT)
            .max(MIN_AFFINITY_GROUPS);
        Ok(ClientGenerator {
            clients_per_second: capacity * simulation.load / MEAN_CONNECTION_S,
            duration_s: Exp::new(1.0 / MEAN_CONNECTION_S).map_err(|e| e.to_string())?,
            affinity_group: Zipf::new(affinity_groups, 1.0).map_err(|e| e.to_string())?,
            load: LogNormal::new(-0.18, 0.6).map_err(|e| e.to_string())?,
        })
    }

    /// Draws a client that connects to `relay` in `zone` at `now`.
    fn client(&self, rng: &mut Pcg64Mcg, now: Micros, relay: usize, zone: usize) -> Client {
        let seconds = self.duration_s.sample(rng).clamp(MIN_CONNECTION_S, 4.0 * MEAN_CONNECTION_S);
        Client {
            relay,
            until: now + (seconds * 1e6) as Micros,
            load: f64::min(self.load.sample(rng), MAX_CONNECTION_LOAD),
            affinity_group: ((zone / ZONES_PER_AFFINITY_GROUP) as u64) << 24
                | self.affinity_group.sample(rng) as u64,
        }
    }
}

impl SimulationRun {
    /// Draws the new clients of this clock step and requests a connection for each.
    pub(super) fn connect_new_clients(&mut self, clients: &ClientGenerator) {
        for relay in 0..self.relays.len() {
            let zone = self.home_zone(relay);
            let mean = clients.clients_per_second / self.zones() as f64 / self.relays_of(zone).max(1) as f64
                * self.arrival_factor[zone]
                * CLOCK_STEP as f64
                / 1e6;
            let count = Poisson::new(mean).map_or(0.0, |p| p.sample(&mut self.rng)) as usize;
            for _ in 0..count {
                let client = clients.client(&mut self.rng, self.now, relay, zone);
                self.request_connection(client);
            }
        }
    }

    /// Requests a new connection for each client whose reconnect delay has passed.
    pub(super) fn reconnect_due_clients(&mut self) {
        while let Some(entry) = self.reconnecting.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let client = entry.remove();
            if client.until > self.now {
                self.request_connection(client);
            }
        }
    }
}
