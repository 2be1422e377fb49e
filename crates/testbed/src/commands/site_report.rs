//! Prints the report of a scenario run as text for people.

use honeyknot_testbed::report::site::Report;

/// Prints the results of a report and the rules that were violated.
pub(super) fn print_summary(report: &Report) {
    let (clients, endpoints) = (&report.client_observations, &report.endpoint_observations);
    println!(
        "{} requests: {} served, {} rejected, {} failed, {} unanswered, {} answered twice, {} lost when a relay was killed",
        clients.requests,
        clients.served,
        clients.rejected,
        clients.failed,
        clients.unanswered,
        clients.duplicate_answers,
        clients.relay_died
    );
    println!(
        "{} attempts at endpoints: {} overlapping, {} too late to a draining endpoint; {} endpoints collapsed while they warmed up",
        endpoints.attempts,
        endpoints.overlapping_attempts,
        endpoints.late_sends_to_draining,
        endpoints.endpoints_collapsed
    );
    println!(
        "{} migrations, at most {} per second; maximum spill {:.1}% of the capacity of {} (limit {:.0}%); restarted endpoints were sent at most {:.2} times the load they can take",
        clients.migrations,
        clients.max_migrations_per_second,
        endpoints.worst_spill * 100.0,
        if endpoints.worst_spill_zone.is_empty() { "none" } else { &endpoints.worst_spill_zone },
        report.spill_limit * 100.0,
        endpoints.worst_return_multiple
    );
    println!(
        "{:.1}% of the wanted connection time served well, {:.1}% for clients of zones without faults; the capacity allowed {:.1}%",
        report.well_served * 100.0,
        report.well_served_unaffected * 100.0,
        report.attainable_share * 100.0
    );
    match report.violations.is_empty() {
        true => println!("all rules held"),
        false => println!("BROKEN: {}", report.violations.join("; ")),
    }
}
