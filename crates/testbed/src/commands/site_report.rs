//! The report of a scenario run as text for people.

use honeyknot_testbed::report::site::Report;

/// Prints the figures of a report and the rules that were broken.
pub(super) fn print_summary(report: &Report) {
    let (clients, endpoints) = (&report.client_observations, &report.endpoint_observations);
    println!(
        "{} clients asked: {} served, {} refused, {} failed, {} unanswered, {} answered twice, {} lost with a relay",
        clients.requests,
        clients.served,
        clients.rejected,
        clients.failed,
        clients.unanswered,
        clients.duplicate_answers,
        clients.relay_died
    );
    println!(
        "{} attempts at card servers: {} overlapping, {} late to a draining one; {} cold ones fell over",
        endpoints.attempts,
        endpoints.overlapping_attempts,
        endpoints.late_sends_to_draining,
        endpoints.endpoints_collapsed
    );
    println!(
        "{} moves, {} in the worst second; worst spill {:.1}% at {} (limit {:.0}%); {:.2} times a returning server's capacity",
        clients.migrations,
        clients.max_migrations_per_second,
        endpoints.worst_spill * 100.0,
        if endpoints.worst_spill_zone.is_empty() { "none" } else { &endpoints.worst_spill_zone },
        report.spill_limit * 100.0,
        endpoints.worst_return_multiple
    );
    println!(
        "{:.1}% of wanted seconds well served, {:.1}% for clients of other zones; capacity allowed {:.1}%",
        report.well_served * 100.0,
        report.well_served_unaffected * 100.0,
        report.attainable_share * 100.0
    );
    match report.violations.is_empty() {
        true => println!("all rules held"),
        false => println!("BROKEN: {}", report.violations.join("; ")),
    }
}
