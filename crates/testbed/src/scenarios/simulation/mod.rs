//! The decisions on zones at size: many relays' zone failover in one process on a virtual clock, without sockets.
//!
//! Each relay receives endpoint updates at a time of its own and load reports late; within the zones that its zone failover
//! allows, an endpoint is chosen without the balancer. So what holds here is held by `crates/zone-failover` alone.

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

/// The virtual clock's step.
const CLOCK_STEP: Micros = 50_000;
/// Interval at which relays run their zone failover.
const TICK_INTERVAL: Micros = 250_000;
/// The clock does not begin at 0: start times of 0 mean long ago.
const START: Micros = 1_000_000_000;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// Zones, the third of which is lost.
    pub zones: usize,
    /// Endpoints in all.
    pub endpoints: usize,
    /// Relays in all.
    pub relays: usize,
    /// Load of the fleet when nothing is wrong, affinity groups left out.
    pub load: f64,
    /// What goes wrong.
    pub scenario: Scenario,
    /// The operator configuration; names of zones in it are not used.
    pub config: ZoneFailoverConfig,
    /// The seed.
    pub seed: u64,
    /// The longest that an endpoint update takes to a relay.
    pub max_update_delay: Duration,
}

/// Simulates a scenario. Equal parameters give equal reports but for the figures of time and memory.
///
/// # Errors
/// A text where the scenario needs the balancer, or a relay's setup is invalid.
pub fn simulate(simulation: &Simulation) -> Result<SimulationReport, String> {
    if matches!(simulation.scenario, Scenario::Partial | Scenario::Relays | Scenario::Surge) {
        return Err(
            "this scenario turns on the decision module's choice of card servers: play it with real relays"
                .into(),
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
