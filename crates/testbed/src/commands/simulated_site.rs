//! `site --simulated`: the pure decisions of many relays on a virtual clock.

use std::time::Duration;

use honeyknot_testbed::report::site::SPILL_SLACK;
use honeyknot_testbed::scenarios::simulation::{Simulation, SimulationReport as Figures, simulate};
use honeyknot_zone_failover::ZoneFailoverConfig;

use super::Outcome;
use super::site::SiteArgs;

/// The highest load of a simulated fleet, as a part of its capacity.
const MAX_LOAD: f64 = 2.0;
/// The longest that an endpoint update takes to a relay.
const MAX_UPDATE_DELAY: Duration = Duration::from_millis(2_500);
/// Standard deviations above the mean that the migrations of a second may reach, as relays migrate out of step.
const MIGRATION_DEVIATIONS: f64 = 4.0;

/// Simulates the scenario and prints its figures.
///
/// # Errors
/// An argument does not fit a simulated environment, or the simulation cannot be done.
pub(super) fn run(args: &SiteArgs) -> Result<Outcome, String> {
    let simulation = simulation(args)?;
    let config = simulation.config.clone();
    let figures = simulate(&simulation)?;
    let held = limits_held(&figures, &config);
    if args.json {
        println!("{}", serde_json::to_string(&figures).map_err(|error| error.to_string())?);
    } else {
        print_figures(&figures, config.spill_limit);
        println!("{}", if held { "the limits held" } else { "BROKEN: a limit did not hold" });
    }
    Ok(Outcome::from_held(held))
}

fn simulation(args: &SiteArgs) -> Result<Simulation, String> {
    let environment = &args.environment;
    if let Some(path) = &environment.sites_file {
        return Err(format!("--plan {}: a simulated world has zones of its own", path.display()));
    }
    if !(args.load > 0.0 && args.load <= MAX_LOAD) {
        return Err(format!("--load {}: allowed is above 0 and up to {MAX_LOAD}", args.load));
    }
    let zones = usize::from(args.zone_count);
    let (endpoints, relays) = (usize::from(environment.endpoints), usize::from(environment.relays));
    if endpoints < zones || relays < zones {
        return Err(format!("{zones} zones need as many card servers and relays at least"));
    }
    Ok(Simulation {
        zones,
        endpoints,
        relays,
        load: args.load,
        scenario: args.scenario,
        config: ZoneFailoverConfig {
            connection_load: 0.03,
            affinity_group_cost: 3.0,
            leave_limit: 0.8,
            ..ZoneFailoverConfig::default()
        },
        seed: environment.seed,
        max_update_delay: MAX_UPDATE_DELAY,
    })
}

/// Returns whether spill, slow start and the pace of migrations stayed within their limits.
fn limits_held(figures: &Figures, config: &ZoneFailoverConfig) -> bool {
    let mean = config.migrations_per_second;
    let paced = figures.max_migrations_per_second as f64 <= mean + MIGRATION_DEVIATIONS * mean.sqrt();
    figures.worst_spill <= config.spill_limit + SPILL_SLACK && figures.endpoints_collapsed == 0 && paced
}

fn print_figures(figures: &Figures, spill_limit: f64) {
    println!(
        "{} zones, {} card servers, {} relays, {} sessions at most",
        figures.zones, figures.endpoints, figures.relays, figures.max_connections
    );
    println!("{} asked: {} served, {} refused", figures.requests, figures.served, figures.rejected);
    println!(
        "worst spill {:.1}% (limit {:.0}%); {:.2} times a returning server's capacity, {} fell over",
        figures.worst_spill * 100.0,
        spill_limit * 100.0,
        figures.worst_return_multiple,
        figures.endpoints_collapsed
    );
    println!(
        "{} moves, {} in the worst second; {:.1}% of wanted seconds well served",
        figures.migrations,
        figures.max_migrations_per_second,
        figures.well_served * 100.0
    );
    println!(
        "a newcomer's decision took {} ns (p50), {} ns (p99); {:.0} s in {:.1} s, {} MiB at the most",
        figures.decision_p50_ns,
        figures.decision_p99_ns,
        figures.simulated_s,
        figures.wall_s,
        figures.peak_mib
    );
}
