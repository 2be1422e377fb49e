//! The summary of a configuration that `honeyknot-relay check-config` prints. Scripts tell its lines apart by
//! their first words, so these do not change.

use honeyknot_gossip::GossipConfig;
use honeyknot_zone_failover::ZoneFailoverConfig;

use crate::relay::lifecycle::config::Config;

/// Prints the summary to standard output.
pub fn print(config: &Config) {
    println!("relay {} listens on {}, discovery at {}", config.name, config.listen, config.discovery);
    let known_endpoints = config.known_endpoints.as_ref().map_or(0, |list| list.endpoints.len());
    println!("{} descriptors, {known_endpoints} known endpoints", config.max_descriptors);
    if let Some(admin) = config.admin {
        println!("operators call at {admin}");
    }
    if let Some(zone_failover) = &config.zone_failover {
        print_zone_failover(zone_failover);
    }
    if let Some(gossip) = &config.gossip {
        print_gossip(gossip);
    }
    if let Some(metrics) = &config.metrics {
        for exporter in &metrics.exporters {
            println!("metrics: sink {} at {}", exporter.name, exporter.address);
        }
    }
}

fn print_zone_failover(config: &ZoneFailoverConfig) {
    let (spill_percent, leave_percent) = (config.spill_limit * 100.0, config.leave_limit * 100.0);
    println!(
        "sites: up to {spill_percent}% of a zone's capacity for other zones, up to {leave_percent}% \
         of new connections may leave their zone"
    );
}

fn print_gossip(config: &GossipConfig) {
    let (fleet, port, seeds) = (&config.fleet, config.port, config.seeds.len());
    let probers = config.probers_per_endpoint;
    println!("neighbors: fleet {fleet}, port {port}, {seeds} seeds, {probers} relays check each endpoint");
}
