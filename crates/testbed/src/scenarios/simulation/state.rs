//! The state of a simulation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use hdrhistogram::Histogram;
use honeyknot_balancer::{Endpoint, EndpointId, Micros, RequestId, ZoneId};
use honeyknot_zone_failover::{ZoneFailover, ZoneFailoverSetup};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::report::SimulationReport;
use super::{CLOCK_STEP, START, Simulation};
use crate::emulators::emulated_endpoint::{AFFINITY_GROUP_COST, MAX_WARM_UP};
use crate::emulators::endpoint_model::{EndpointModel, EndpointParameters};

/// Weights of the endpoints of a zone, assigned round-robin.
const WEIGHTS: [f64; 3] = [1.6, 1.0, 0.6];
/// Capacity of a warm endpoint of weight 1, in average connections.
const CAPACITY: f64 = 34.0;
/// Upper bound of the histogram of admission decision times, in nanoseconds.
const MAX_DECISION_NS: u64 = 10_000_000;

/// A simulated endpoint.
pub(super) struct SimulatedEndpoint {
    pub(super) id: EndpointId,
    pub(super) zone: usize,
    pub(super) model: EndpointModel,
    /// Whether its process runs.
    pub(super) is_running: bool,
}

/// A client that has or wants a connection.
#[derive(Clone)]
pub(super) struct Client {
    pub(super) relay: usize,
    /// Time until which the client wants its connection.
    pub(super) until: Micros,
    /// Load of its connection, in average connections.
    pub(super) load: f64,
    pub(super) affinity_group: u64,
}

/// An established connection between a client and an endpoint.
pub(super) struct EstablishedConnection {
    pub(super) client: Client,
    pub(super) endpoint: usize,
}

/// An endpoint update that has not reached a relay yet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PendingUpdate {
    pub(super) due: Micros,
    pub(super) relay: usize,
    /// Index of the update in `SimulationRun::published`.
    pub(super) number: usize,
}

/// The time at which a client no longer needs its connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionEnd {
    pub(super) due: Micros,
    pub(super) relay: usize,
    pub(super) id: RequestId,
}

/// A running simulation.
pub(super) struct SimulationRun {
    pub(super) now: Micros,
    pub(super) rng: Pcg64Mcg,
    pub(super) endpoints: Vec<SimulatedEndpoint>,
    pub(super) by_id: BTreeMap<EndpointId, usize>,
    pub(super) by_zone: Vec<Vec<usize>>,
    pub(super) relays: Vec<ZoneFailover>,
    pub(super) pending_updates: BinaryHeap<Reverse<PendingUpdate>>,
    pub(super) published: Vec<Arc<Vec<Endpoint>>>,
    /// Clients that wait to reconnect, by due time and serial number.
    pub(super) reconnecting: BTreeMap<(Micros, u64), Client>,
    /// Established connections, by relay and id.
    pub(super) established: BTreeMap<(usize, RequestId), EstablishedConnection>,
    pub(super) connection_ends: BinaryHeap<Reverse<ConnectionEnd>>,
    pub(super) serial: u64,
    pub(super) report: SimulationReport,
    pub(super) migrations_by_second: BTreeMap<Micros, u64>,
    pub(super) decision_ns: Histogram<u64>,
    /// Seconds of connection time that clients wanted.
    wanted_s: f64,
    /// Seconds of connection time in which endpoints answered in time.
    well_served_s: f64,
    /// Rate of new clients of each zone, as a multiple of the normal rate.
    pub(super) arrival_factor: Vec<f64>,
    pub(super) max_update_delay: Micros,
}

impl SimulationRun {
    /// Creates the endpoints and relays of a simulation.
    ///
    /// # Errors
    /// Returns a message if a relay's configuration is invalid.
    pub(super) fn new(simulation: &Simulation) -> Result<SimulationRun, String> {
        let mut rng = Pcg64Mcg::seed_from_u64(simulation.seed);
        let endpoints = generate_endpoints(simulation, &mut rng);
        let mut by_zone = vec![Vec::new(); simulation.zones];
        endpoints.iter().enumerate().for_each(|(index, endpoint)| by_zone[endpoint.zone].push(index));
        Ok(SimulationRun {
            now: START,
            by_id: endpoints.iter().enumerate().map(|(index, e)| (e.id.clone(), index)).collect(),
            endpoints,
            by_zone,
            relays: create_relays(simulation)?,
            pending_updates: BinaryHeap::new(),
            published: Vec::new(),
            reconnecting: BTreeMap::new(),
            established: BTreeMap::new(),
            connection_ends: BinaryHeap::new(),
            serial: 0,
            report: SimulationReport::new(simulation),
            migrations_by_second: BTreeMap::new(),
            decision_ns: Histogram::new_with_bounds(1, MAX_DECISION_NS, 3).map_err(|e| e.to_string())?,
            wanted_s: 0.0,
            well_served_s: 0.0,
            arrival_factor: vec![1.0; simulation.zones],
            max_update_delay: simulation.max_update_delay.as_micros() as Micros,
            rng,
        })
    }

    /// Returns the number of zones.
    pub(super) fn zones(&self) -> usize {
        self.by_zone.len()
    }

    /// Returns the home zone of a relay.
    pub(super) fn home_zone(&self, relay: usize) -> usize {
        relay % self.zones()
    }

    /// Returns the number of relays in a zone.
    pub(super) fn relays_of(&self, zone: usize) -> usize {
        self.relays.len() / self.zones() + usize::from(zone < self.relays.len() % self.zones())
    }

    /// Returns the capacity of all endpoints when warm, in average connections.
    pub(super) fn total_capacity(&self) -> f64 {
        self.endpoints.iter().map(|endpoint| endpoint.model.parameters().capacity).sum()
    }

    /// Adds the current clock step to the observations.
    pub(super) fn record_observations(&mut self) {
        let step = CLOCK_STEP as f64 / 1e6;
        let waiting = self.reconnecting.values().filter(|client| client.until > self.now).count();
        self.wanted_s += (self.established.len() + waiting) as f64 * step;
        self.report.max_connections = self.report.max_connections.max(self.established.len());
        let mut zones = vec![(0.0, 0.0); self.zones()];
        for endpoint in self.endpoints.iter().filter(|endpoint| endpoint.is_running) {
            let model = &endpoint.model;
            self.well_served_s += model.connections() as f64 * model.in_time_fraction(self.now) * step;
            zones[endpoint.zone].0 += model.cross_zone_load();
            zones[endpoint.zone].1 += model.capacity(self.now);
            if model.started_at() > 0 {
                let worst = &mut self.report.worst_return_multiple;
                *worst = worst.max(model.max_overload());
            }
        }
        for (cross_zone_load, capacity) in zones.into_iter().filter(|zone| zone.1 > 0.0) {
            self.report.worst_spill = self.report.worst_spill.max(cross_zone_load / capacity);
        }
    }

    /// Returns the report; real time and memory are not filled in.
    pub(super) fn into_report(self) -> SimulationReport {
        let mut report = self.report;
        report.endpoints_collapsed +=
            self.endpoints.iter().filter(|endpoint| endpoint.model.collapsed()).count() as u64;
        report.max_migrations_per_second = self.migrations_by_second.values().copied().max().unwrap_or(0);
        report.well_served = self.well_served_s / self.wanted_s.max(1e-9);
        report.decision_p50_ns = self.decision_ns.value_at_quantile(0.5);
        report.decision_p99_ns = self.decision_ns.value_at_quantile(0.99);
        report.simulated_s = (self.now - START) as f64 / 1e6;
        report
    }
}

/// Generates the endpoints, distributed evenly over the zones.
fn generate_endpoints(simulation: &Simulation, rng: &mut Pcg64Mcg) -> Vec<SimulatedEndpoint> {
    (0..simulation.endpoints)
        .map(|number| {
            let weight = WEIGHTS[number / simulation.zones % 3];
            let parameters = EndpointParameters {
                weight,
                capacity: CAPACITY * weight * rng.random_range(0.94..1.06),
                cold_capacity_fraction: rng.random_range(0.35..0.5),
                warm_up: rng.random_range(6_000_000..MAX_WARM_UP),
                affinity_group_cost: AFFINITY_GROUP_COST,
                report_interval: rng.random_range(370_000..840_000),
                report_delay: rng.random_range(180_000..460_000),
            };
            let id = EndpointId(format!("s-{number:06x}").into());
            SimulatedEndpoint {
                id,
                zone: number % simulation.zones,
                model: EndpointModel::new(parameters, 0),
                is_running: true,
            }
        })
        .collect()
}

/// Creates the zone failover of each relay.
///
/// # Errors
/// Returns a message if the configuration is invalid.
fn create_relays(simulation: &Simulation) -> Result<Vec<ZoneFailover>, String> {
    let zone_names: Vec<String> = (0..simulation.zones).map(|n| format!("zone-{n}")).collect();
    let relays = (0..simulation.relays).map(|number| {
        let setup = ZoneFailoverSetup {
            config: simulation.config.clone(),
            zone_names: zone_names.clone(),
            home_zone: ZoneId(number % simulation.zones),
            fleet_size: simulation.relays as u32,
            slow_start_duration: MAX_WARM_UP,
            initial_capacity: 0.32,
            seed: simulation.seed ^ (number as u64) << 20,
        };
        ZoneFailover::new(setup, START)
    });
    relays.collect::<Result<Vec<ZoneFailover>, _>>().map_err(|error| error.to_string())
}
