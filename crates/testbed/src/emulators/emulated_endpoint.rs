//! An endpoint as the environment knows it, and how endpoints are generated.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use super::endpoint_model::{EndpointModel, EndpointParameters, Micros};

/// The longest warm-up of an endpoint.
pub const MAX_WARM_UP: Micros = 9_000_000;
/// The shortest warm-up of an endpoint.
const MIN_WARM_UP: Micros = 6_000_000;
/// What an affinity group costs on each endpoint that holds it, in usual connections.
pub const AFFINITY_GROUP_COST: f64 = 3.0;

/// A kind of machine that endpoints run on.
struct MachineKind {
    /// The part of all endpoints that run on it.
    share: f64,
    weight: f64,
    /// Usual connections that fill it once it is warm.
    capacity: f64,
    /// The part of its capacity that it starts with.
    cold_capacity_fraction: f64,
}

const MACHINE_KINDS: [MachineKind; 3] = [
    MachineKind { share: 0.41, weight: 1.6, capacity: 54.0, cold_capacity_fraction: 0.42 },
    MachineKind { share: 0.38, weight: 1.0, capacity: 34.0, cold_capacity_fraction: 0.45 },
    MachineKind { share: 0.21, weight: 0.6, capacity: 20.0, cold_capacity_fraction: 0.46 },
];

/// What an endpoint's process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It serves.
    Serving,
    /// Its machine has vanished: connections stay open and silent, new ones are never answered.
    Silent,
    /// Its process has died: connections are reset, new ones rejected.
    Dead,
}

/// An endpoint of the environment.
#[derive(Debug)]
pub struct EmulatedEndpoint {
    /// Its id in discovery.
    pub id: String,
    /// Its zone.
    pub zone: usize,
    /// Its model.
    pub model: EndpointModel,
    /// What its process does; its tasks follow it.
    pub process_state: watch::Sender<ProcessState>,
    /// It drains.
    pub draining: watch::Sender<bool>,
    /// When its process last ended.
    pub ended_at: Micros,
    /// It has come back at least once: the rule on cold endpoints is judged for it.
    pub has_restarted: bool,
}

/// Draws the endpoints of an environment, evenly over its zones.
pub(super) fn generate_endpoints(count: usize, zones: usize, rng: &mut Pcg64Mcg) -> Vec<EmulatedEndpoint> {
    (0..count)
        .map(|number| {
            let kind = machine_kind(number, zones);
            let parameters = EndpointParameters {
                weight: kind.weight,
                capacity: kind.capacity * rng.random_range(0.92..1.08),
                cold_capacity_fraction: kind.cold_capacity_fraction * rng.random_range(0.9..1.1),
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

/// Returns the kind of machine of an endpoint, so that every zone has its share of each, whatever the seed.
fn machine_kind(number: usize, zones: usize) -> &'static MachineKind {
    let place = ((number / zones) as f64 * 0.37 + (number % zones) as f64 * 0.21).fract();
    let mut sum = 0.0;
    let found = MACHINE_KINDS.iter().find(|kind| {
        sum += kind.share;
        place < sum
    });
    found.unwrap_or(&MACHINE_KINDS[2])
}
