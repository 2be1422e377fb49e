//! Reading of the operator file `metrics.conf`.

use honeyknot_metrics::MetricsConfig;
use honeyknot_metrics::config::Protocol;

/// Returns the credentials of the key file `key`, and an error for any other path.
fn read_key(path: &str) -> Result<(String, String), String> {
    match path {
        "key" => Ok(("edge".to_owned(), "secret".to_owned())),
        _ => Err("the key file is accessible to other users".to_owned()),
    }
}

#[test]
fn the_example_file_is_valid() {
    let config = MetricsConfig::read("metrics.conf", include_str!("../../../deploy/metrics.conf"), read_key)
        .expect("a valid file");
    assert_eq!((config.exporters.len(), config.series_cap), (2, 64));
    assert!(matches!(config.exporters[0].protocol, Protocol::GraphiteLines(_)));
    assert!(matches!(config.exporters[1].protocol, Protocol::Collectd(_)));
}

#[test]
fn all_errors_are_reported_together_and_debug_output_omits_passwords() {
    let text = "sink a {\n  graphite 127.0.0.1:2003\n  collectd 127.0.0.1:9\n}\nsink b {\n  interval 1ms\n}\n\
                sink c {\n  graphite nowhere\n  sign key\n}\nsink d {\n  collectd 127.0.0.1:9\n  encrypt open\n}\n";
    let message = MetricsConfig::read("m.conf", text, read_key).expect_err("errors").to_string();
    let lines = [
        "m.conf:1:1: a sink takes only one of `graphite`, `graphite-pickle` and `collectd`",
        "m.conf:5:1: a sink needs one of `graphite`, `graphite-pickle` or `collectd`, with its address",
        "m.conf:6:12: `interval`: `1ms`: allowed is 100ms to 1h",
        "m.conf:8:1: `sign` and `encrypt` require `collectd`, and exclude each other",
        "m.conf:8:1: a sink needs one of `graphite`, `graphite-pickle` or `collectd`, with its address",
        "m.conf:9:12: `graphite`: `nowhere`: not an address with its port, such as 127.0.0.1:2003",
        "m.conf:14:11: `encrypt`: `open`: the key file is accessible to other users",
    ];
    assert_eq!(message, lines.join("\n"));
    let config = MetricsConfig::read("m.conf", "sink a {\n  collectd 127.0.0.1:9\n  sign key\n}\n", read_key)
        .expect("a valid file");
    assert!(!format!("{config:?}").contains("secret"));
}
