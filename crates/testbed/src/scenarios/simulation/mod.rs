//! Simulates the zone failover of a large fleet: many relays in one process on a virtual clock, without
//! sockets.
//!
//! Each relay receives endpoint updates with its own delay, and load reports late. Within the zones that zone
//! failover allows, an endpoint is chosen without the balancer, so the limits that hold here are enforced by
//! `crates/zone-failover` alone.

mod arrivals;
mod connections;
mod endpoint_updates;
mod faults;
mod relays;
mod report;
mod state;

use std::time::{Duration, Instant};

use honeyknot_balancer::Micros;
use honeyknot_zone_failover::ZoneFailoverConfig;

use super::scenario::Scenario;
use arrivals::ClientGenerator;
pub use report::SimulationReport;
use state::SimulationRun;

/// Step of the virtual clock, in microseconds.
const CLOCK_STEP: Micros = 50_000;
/// Interval at which relays run their zone failover, in microseconds.
const TICK_INTERVAL: Micros = 250_000;
/// Time at which the virtual clock starts, in microseconds. Not 0, because a start time of 0 means that an
/// endpoint has been running for a long time.
const START: Micros = 1_000_000_000;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// Number of zones; the third one fails.
    pub zones: usize,
    /// Number of endpoints in all zones.
    pub endpoints: usize,
    /// Number of relays in all zones.
    pub relays: usize,
    /// Load of the fleet without faults, as a share of its capacity, not counting the cost of affinity
    /// groups.
    pub load: f64,
    /// The scenario.
    pub scenario: Scenario,
    /// Zone failover configuration of all relays; zone names in it are not used.
    pub config: ZoneFailoverConfig,
    /// Random seed.
    pub seed: u64,
    /// Maximum delay until an endpoint update reaches a relay.
    pub max_update_delay: Duration,
}

/// Simulates a scenario. Equal parameters give equal reports, except for real time and memory.
///
/// # Errors
/// Returns a message if the scenario cannot be simulated, or if a relay's configuration is invalid.
pub fn simulate(simulation: &Simulation) -> Result<SimulationReport, String> {
    if matches!(simulation.scenario, Scenario::Partial | Scenario::Relays | Scenario::Surge) {
        return Err(
            "this scenario depends on the balancer's choice of endpoints; run it without --simulated".into(),
        );
    }
    let began = Instant::now();
    let mut run = SimulationRun::new(simulation)?;
    run.run(simulation)?;
    let mut report = run.into_report();
    report.wall_s = began.elapsed().as_secs_f64();
    report.peak_mib = report::peak_mib();
    Ok(report)
}

impl SimulationRun {
    /// Runs the scenario to its end.
    fn run(&mut self, simulation: &Simulation) -> Result<(), String> {
        let clients = ClientGenerator::new(simulation, self.total_capacity())?;
        self.send_full_list();
        let (mut steps, length) = simulation.scenario.steps();
        steps.reverse();
        let end = START + length.as_micros() as Micros;
        while self.now < end {
            self.now += CLOCK_STEP;
            while steps.last().is_some_and(|(at, _)| START + at.as_micros() as Micros <= self.now) {
                if let Some((_, step)) = steps.pop() {
                    self.apply(step);
                }
            }
            self.deliver_updates();
            self.end_due_connections();
            self.connect_new_clients(&clients);
            self.reconnect_due_clients();
            if self.now.is_multiple_of(TICK_INTERVAL) {
                self.tick();
            }
            self.record_observations();
        }
        Ok(())
    }
}
