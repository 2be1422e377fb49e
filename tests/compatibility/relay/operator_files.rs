//! Operators' files as they were in `deploy/` in the previous version: the configuration that each gives, and
//! the texts of errors.

use std::collections::BTreeMap;
use std::time::Duration;

use honeyknot_gossip::GossipConfig;
use honeyknot_metrics::collectd::Security;
use honeyknot_metrics::config::{ExporterConfig, MetricsConfig, Protocol};
use honeyknot_metrics::graphite::PathStyle;
use honeyknot_relay::lease_client::config::LeaseConfig;
use honeyknot_zone_failover::{RetryAfterRange, ZoneFailoverConfig};

use super::{address, fixture_text};

/// Zones of the deployment.
const ZONES: [&str; 4] = ["accra-north", "accra-east", "tema", "kasoa"];

/// Reads a sites file. Errors are returned as text.
pub fn read_sites(file: &str) -> Result<ZoneFailoverConfig, String> {
    let zones = ZONES.map(str::to_owned);
    ZoneFailoverConfig::read(file, &fixture_text(file), &zones).map_err(|errors| errors.to_string())
}

fn read_neighbors(file: &str) -> Result<GossipConfig, String> {
    GossipConfig::read(file, &fixture_text(file)).map_err(|errors| errors.to_string())
}

fn read_metrics(file: &str) -> Result<MetricsConfig, String> {
    let no_key_file = |_: &str| Err("no key file".to_owned());
    MetricsConfig::read(file, &fixture_text(file), no_key_file).map_err(|errors| errors.to_string())
}

fn read_leases(file: &str) -> Result<LeaseConfig, String> {
    LeaseConfig::read(file, &fixture_text(file)).map_err(|errors| errors.to_string())
}

fn names(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

#[test]
fn a_sites_file_of_the_previous_version_gives_the_same_configuration() {
    let tiers = [
        ("accra-north", vec![names(&["accra-east", "tema"]), names(&["kasoa"])]),
        ("accra-east", vec![names(&["accra-north", "kasoa"]), names(&["tema"])]),
        ("tema", vec![names(&["accra-east", "accra-north"]), names(&["kasoa"])]),
        ("kasoa", vec![names(&["accra-east"]), names(&["accra-north", "tema"])]),
    ];
    let expected = ZoneFailoverConfig {
        tiers: tiers.into_iter().map(|(home, tiers)| (home.to_owned(), tiers)).collect(),
        spill_limit: 0.25,
        receive_limits: BTreeMap::new(),
        leave_limit: 0.8,
        overflow_share: 0.25,
        relays_per_zone: BTreeMap::new(),
        relay_skew: 1.0,
        connection_load: 0.03,
        affinity_group_cost: 3.0,
        spill_threshold: 0.6,
        receive_threshold: 0.7,
        give_back_threshold: 0.85,
        lost_threshold: 0.1,
        recovered_threshold: 0.4,
        partial_recovery_delay: 5_000_000,
        min_unresponsive_endpoints: 2,
        ramp_duration: 9_000_000,
        ramp_spread: 1_500_000,
        settle_time: 5_000_000,
        hold_down: 4_000_000,
        max_hold_down: 120_000_000,
        flap_half_life: 120_000_000,
        migrations_per_second: 4.0,
        rebalance_threshold: 0.55,
        max_update_skew: 3_000_000,
        spill_ramp_duration: 10_000_000,
        usual_capacity_half_life: 600_000_000,
        retry_after: RetryAfterRange { min: 150_000, max: 600_000 },
    };
    assert_eq!(read_sites("sites.conf"), Ok(expected));
}

#[test]
fn a_sites_file_with_every_directive_changed_gives_the_same_configuration() {
    let expected = ZoneFailoverConfig {
        tiers: BTreeMap::from([("tema".to_owned(), vec![names(&["kasoa"])])]),
        spill_limit: 0.31,
        receive_limits: BTreeMap::from([("kasoa".to_owned(), 0.15)]),
        leave_limit: 0.32,
        overflow_share: 0.33,
        relays_per_zone: BTreeMap::from([("tema".to_owned(), 12)]),
        relay_skew: 2.5,
        connection_load: 0.04,
        affinity_group_cost: 5.0,
        spill_threshold: 0.51,
        receive_threshold: 0.72,
        give_back_threshold: 0.93,
        lost_threshold: 0.14,
        recovered_threshold: 0.45,
        partial_recovery_delay: 6_000_000,
        min_unresponsive_endpoints: 7,
        ramp_duration: 8_000_000,
        ramp_spread: 1_100_000,
        settle_time: 12_000_000,
        hold_down: 13_000_000,
        max_hold_down: 180_000_000,
        flap_half_life: 240_000_000,
        migrations_per_second: 9.0,
        rebalance_threshold: 0.5,
        max_update_skew: 1_900_000,
        spill_ramp_duration: 21_000_000,
        usual_capacity_half_life: 720_000_000,
        retry_after: RetryAfterRange { min: 160_000, max: 700_000 },
    };
    assert_eq!(read_sites("sites-all.conf"), Ok(expected));
}

#[test]
fn a_neighbors_file_of_the_previous_version_gives_the_same_configuration() {
    let expected = GossipConfig {
        fleet: "example".into(),
        port: 7500,
        seeds: vec![address("127.0.0.1:7500"), address("127.0.0.2:7500")],
        probers_per_endpoint: 3,
        plain_network: false,
    };
    assert_eq!(read_neighbors("neighbors.conf"), Ok(expected));
}

fn sink(name: &str, protocol: Protocol, socket_address: &str) -> ExporterConfig {
    ExporterConfig {
        name: name.into(),
        protocol,
        address: address(socket_address),
        interval: Duration::from_secs(10),
        prefix: "honeyknot".into(),
        max_buffer_bytes: 1 << 20,
        max_spool_bytes: 0,
        spool_frames_per_second: 20.0,
    }
}

#[test]
fn a_metrics_file_of_the_previous_version_gives_the_same_configuration() {
    let config = read_metrics("metrics.conf").expect("a valid file");
    let expected = [
        sink("graphite", Protocol::GraphiteLines(PathStyle::Nodes), "127.0.0.1:2003"),
        sink("collectd", Protocol::Collectd(Security::None), "127.0.0.1:25826"),
    ];
    assert_eq!(config.exporters, expected);
    assert_eq!((config.series_cap, config.state_directory), (64, None));
}

#[test]
fn a_metrics_file_with_every_directive_changed_gives_the_same_configuration() {
    let text = fixture_text("metrics-all.conf");
    let key = |file: &str| Ok((format!("user of {file}"), "secret".to_owned()));
    let config = MetricsConfig::read("metrics-all.conf", &text, key).expect("a valid file");
    let security = |file: &str| (format!("user of {file}"), "secret".to_owned());
    let (signer, encrypter) = (security("sign.key"), security("encrypt.key"));
    let expected = [
        ExporterConfig {
            interval: Duration::from_secs(2),
            prefix: "edge".into(),
            max_buffer_bytes: 8 << 10,
            max_spool_bytes: 64 << 20,
            spool_frames_per_second: 7.0,
            ..sink("pickles", Protocol::GraphitePickle(PathStyle::Tags), "127.0.0.1:2004")
        },
        sink(
            "signed",
            Protocol::Collectd(Security::Sign { user: signer.0, password: signer.1 }),
            "127.0.0.1:25826",
        ),
        sink(
            "encrypted",
            Protocol::Collectd(Security::Encrypt { user: encrypter.0, password: encrypter.1 }),
            "127.0.0.1:25827",
        ),
    ];
    assert_eq!(config.exporters, expected);
    assert_eq!((config.series_cap, config.state_directory), (9, Some("counts".into())));
}

#[test]
fn a_leases_file_of_the_previous_version_gives_the_same_configuration() {
    let config = read_leases("leases.conf").expect("a valid file");
    assert_eq!(config.fleet, "example");
    let servers = [(1, "127.0.0.1:7401"), (2, "127.0.0.1:7402"), (3, "127.0.0.1:7403")];
    assert_eq!(config.servers, servers.map(|(number, text)| (number, address(text))).into());
    let parameters = config.parameters;
    assert_eq!(
        (parameters.lease_duration, parameters.drift_ppm, parameters.margin),
        (10_000_000, 1_000, 500_000)
    );
    assert_eq!(config.election_timeout, 1_000_000);
}

#[test]
fn addresses_beyond_the_loopback_are_allowed_with_the_same_directive_as_before() {
    let neighbors = read_neighbors("neighbors-plain.conf").expect("a valid file");
    assert!(neighbors.plain_network);
    assert_eq!(neighbors.seeds, [address("192.0.2.1:7500")]);
    let leases = read_leases("leases-plain.conf").expect("a valid file");
    assert_eq!(leases.servers, BTreeMap::from([(1, address("192.0.2.1:7401"))]));
}

#[test]
fn a_sites_file_with_errors_gives_the_same_error_text() {
    let errors = read_sites("sites-wrong.conf").expect_err("the file is invalid");
    assert_eq!(errors + "\n", fixture_text("sites-wrong.txt"));
}

#[test]
fn a_neighbors_file_with_errors_gives_the_same_error_text() {
    let errors = read_neighbors("neighbors-wrong.conf").expect_err("the file is invalid");
    assert_eq!(errors + "\n", fixture_text("neighbors-wrong.txt"));
}

#[test]
fn a_metrics_file_with_errors_gives_the_same_error_text() {
    let errors = read_metrics("metrics-wrong.conf").expect_err("the file is invalid");
    assert_eq!(errors + "\n", fixture_text("metrics-wrong.txt"));
}

#[test]
fn a_leases_file_with_errors_gives_the_same_error_text() {
    let errors = read_leases("leases-wrong.conf").expect_err("the file is invalid");
    assert_eq!(errors + "\n", fixture_text("leases-wrong.txt"));
}
