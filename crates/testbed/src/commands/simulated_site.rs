//! `site --simulated`: simulates the zone failover of many relays on a virtual clock.

use std::time::Duration;

use honeyknot_testbed::report::site::SPILL_SLACK;
use honeyknot_testbed::scenarios::simulation::{Simulation, SimulationReport as Report, simulate};
use honeyknot_zone_failover::ZoneFailoverConfig;

use super::Outcome;
use super::site::SiteArgs;

/// Maximum load of a simulated fleet, as a share of its capacity.
const MAX_LOAD: f64 = 2.0;
/// Maximum delay until an endpoint update reaches a relay.
const MAX_UPDATE_DELAY: Duration = Duration::from_millis(2_500);
/// Number of standard deviations by which the migrations in one second may exceed the configured rate,
/// because the relays do not coordinate their migrations.
const MIGRATION_DEVIATIONS: f64 = 4.0;

/// Simulates the scenario and prints its results.
///
/// # Errors
/// Returns a message if an argument is invalid for a simulation, or the scenario cannot be simulated.
pub(super) fn run(args: &SiteArgs) -> Result<Outcome, String> {
    let simulation = simulation(args)?;
    let config = simulation.config.clone();
    let report = simulate(&simulation)?;
    let passed = limits_hold(&report, &config);
    if args.json {
        println!("{}", serde_json::to_string(&report).map_err(|error| error.to_string())?);
    } else {
        print_report(&report, config.spill_limit);
        println!("{}", if passed { "all limits held" } else { "BROKEN: a limit was exceeded" });
    }
    Ok(Outcome::from_passed(passed))
}

fn simulation(args: &SiteArgs) -> Result<Simulation, String> {
    let environment = &args.environment;
    if let Some(path) = &environment.sites_file {
        return Err(format!(
            "--plan {}: cannot be combined with --simulated, which generates its own zones",
            path.display()
        ));
    }
    if !(args.load > 0.0 && args.load <= MAX_LOAD) {
        return Err(format!("--load {}: must be above 0 and at most {MAX_LOAD}", args.load));
    }
    let zones = usize::from(args.zone_count);
    let (endpoints, relays) = (usize::from(environment.endpoints), usize::from(environment.relays));
    if endpoints < zones || relays < zones {
        return Err(format!(
            "--sites-count {zones}: each zone needs at least one endpoint and one relay; found --servers {endpoints} and --relays {relays}"
        ));
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

/// Returns whether spill and the rate of migrations stayed within their limits, and no endpoint collapsed.
fn limits_hold(report: &Report, config: &ZoneFailoverConfig) -> bool {
    let mean_rate = config.migrations_per_second;
    let migrations_within_limit =
        report.max_migrations_per_second as f64 <= mean_rate + MIGRATION_DEVIATIONS * mean_rate.sqrt();
    report.worst_spill <= config.spill_limit + SPILL_SLACK
        && report.endpoints_collapsed == 0
        && migrations_within_limit
}

fn print_report(report: &Report, spill_limit: f64) {
    println!(
        "{} zones, {} endpoints, {} relays, at most {} connections",
        report.zones, report.endpoints, report.relays, report.max_connections
    );
    println!("{} requests: {} served, {} rejected", report.requests, report.served, report.rejected);
    println!(
        "maximum spill {:.1}% (limit {:.0}%); restarted endpoints were sent at most {:.2} times the load they can take, {} collapsed",
        report.worst_spill * 100.0,
        spill_limit * 100.0,
        report.worst_return_multiple,
        report.endpoints_collapsed
    );
    println!(
        "{} migrations, at most {} per second; {:.1}% of the wanted connection time served well",
        report.migrations,
        report.max_migrations_per_second,
        report.well_served * 100.0
    );
    println!(
        "admission decisions took {} ns (p50), {} ns (p99); simulated {:.0} s in {:.1} s with at most {} MiB of memory",
        report.decision_p50_ns, report.decision_p99_ns, report.simulated_s, report.wall_s, report.peak_mib
    );
}
