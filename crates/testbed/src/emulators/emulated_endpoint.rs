//! The state of an emulated endpoint, and the generation of the endpoints of an environment.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use super::endpoint_model::{EndpointModel, EndpointParameters, Micros};

/// Maximum warm-up time of an endpoint, in microseconds.
pub const MAX_WARM_UP: Micros = 9_000_000;
/// Minimum warm-up time of an endpoint, in microseconds.
const MIN_WARM_UP: Micros = 6_000_000;
/// Load of an affinity group on each endpoint that has connections of it, in average connections.
pub const AFFINITY_GROUP_COST: f64 = 3.0;

/// A machine type on which endpoints run.
struct MachineType {
    /// Share of all endpoints that run on this machine type.
    share: f64,
    weight: f64,
    /// Capacity when warm, in average connections.
    capacity: f64,
    /// Share of the capacity that is available right after the start.
    cold_capacity_fraction: f64,
}

const MACHINE_TYPES: [MachineType; 3] = [
    MachineType { share: 0.41, weight: 1.6, capacity: 54.0, cold_capacity_fraction: 0.42 },
    MachineType { share: 0.38, weight: 1.0, capacity: 34.0, cold_capacity_fraction: 0.45 },
    MachineType { share: 0.21, weight: 0.6, capacity: 20.0, cold_capacity_fraction: 0.46 },
];

/// The state of an endpoint's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process runs and serves connections.
    Serving,
    /// The machine has become unreachable: connections stay open without traffic, new ones are never
    /// answered.
    Silent,
    /// The process has died: connections are reset, new ones refused.
    Dead,
}

/// An endpoint of the environment.
#[derive(Debug)]
pub struct EmulatedEndpoint {
    /// Id in discovery.
    pub id: String,
    /// Index of its zone.
    pub zone: usize,
    /// The model of its capacity and load.
    pub model: EndpointModel,
    /// State of its process, watched by the tasks that serve its connections.
    pub process_state: watch::Sender<ProcessState>,
    /// Whether it drains: it migrates its connections and rejects new ones.
    pub draining: watch::Sender<bool>,
    /// When its process last stopped, in Unix microseconds; 0 if it never did.
    pub ended_at: Micros,
    /// Whether it has restarted at least once, so that the load sent to it during its warm-up is checked.
    pub has_restarted: bool,
}

/// Generates the endpoints of an environment, distributed evenly over its zones.
pub(super) fn generate_endpoints(count: usize, zones: usize, rng: &mut Pcg64Mcg) -> Vec<EmulatedEndpoint> {
    (0..count)
        .map(|number| {
            let machine = machine_type(number, zones);
            let parameters = EndpointParameters {
                weight: machine.weight,
                capacity: machine.capacity * rng.random_range(0.92..1.08),
                cold_capacity_fraction: machine.cold_capacity_fraction * rng.random_range(0.9..1.1),
                warm_up: rng.random_range(MIN_WARM_UP..MAX_WARM_UP),
                affinity_group_cost: AFFINITY_GROUP_COST,
                report_interval: rng.random_range(370_000..840_000),
                report_delay: rng.random_range(180_000..460_000),
            };
            EmulatedEndpoint {
                id: format!("s-{:08x}", rng.random::<u32>()),
                zone: number % zones,
                model: EndpointModel::new(parameters, 0),
                process_state: watch::Sender::new(ProcessState::Serving),
                draining: watch::Sender::new(false),
                ended_at: 0,
                has_restarted: false,
            }
        })
        .collect()
}

/// Returns the machine type of an endpoint. Every zone gets its share of each type, independent of the seed.
fn machine_type(number: usize, zones: usize) -> &'static MachineType {
    let position = ((number / zones) as f64 * 0.37 + (number % zones) as f64 * 0.21).fract();
    let mut cumulative_share = 0.0;
    let machine = MACHINE_TYPES.iter().find(|machine| {
        cumulative_share += machine.share;
        position < cumulative_share
    });
    machine.unwrap_or(&MACHINE_TYPES[2])
}
