//! The configuration file of lease servers.

use honeyknot_relay::lease_client::config::LeaseConfig;

const FILE: &str = "leases.conf";

/// Parses an invalid text and returns its errors.
fn errors(text: &str) -> String {
    LeaseConfig::read(FILE, text).expect_err("an invalid text").to_string()
}

#[test]
fn an_invalid_configuration_is_rejected_with_all_of_its_errors() {
    let error = errors("fleet a\nkeeper 1 10.0.0.1:7401\n");
    assert!(
        error.contains("`10.0.0.1:7401` is not a loopback address") && error.contains("plain-network"),
        "{error}"
    );
    let error = errors("fleet a\nkeeper 1 127.0.0.1:1\nkeeper 2 127.0.0.1:2\n");
    assert!(error.contains("1, 3, 5 or 7 `keeper` directives"), "{error}");
    let error = errors("fleet a\nkeeper 1 127.0.0.1:1\nkeeper 1 127.0.0.1:2\nkeeper 3 127.0.0.1:3\n");
    assert!(error.contains("`keeper 1` is given more than once"), "{error}");
    let error = errors("keeper 1 127.0.0.1:1\nlease 1s\nmargin 900ms\nelection 1s\nleese 3\n");
    for part in ["fleet", "less than half of the lease", "longer than a third of `lease`", "leese"] {
        assert!(error.contains(part), "{part}: {error}");
    }
}

#[test]
fn the_deployed_configuration_and_one_on_a_plain_network_are_valid() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/leases.conf");
    let text = std::fs::read_to_string(path).expect("the deployed configuration");
    let deployed = LeaseConfig::read("deploy/leases.conf", &text).expect("a valid configuration");
    assert_eq!(deployed.servers.len(), 3);
    assert!(LeaseConfig::read(FILE, "fleet a\nplain-network\nkeeper 1 10.0.0.1:7401\n").is_ok());
}
