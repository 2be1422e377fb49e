//! The operators' file for sinks.

use honeyknot_metrics::MetricsConfig;
use honeyknot_metrics::config::Protocol;

fn secret(path: &str) -> Result<(String, String), String> {
    match path {
        "key" => Ok(("edge".to_owned(), "secret".to_owned())),
        _ => Err("others than its owner may use the key file".to_owned()),
    }
}

#[test]
fn the_example_is_sound() {
    let plan = MetricsConfig::read("metrics.conf", include_str!("../../../deploy/metrics.conf"), secret)
        .expect("a plan");
    assert_eq!((plan.exporters.len(), plan.series_cap), (2, 64));
    assert!(matches!(plan.exporters[0].protocol, Protocol::GraphiteLines(_)));
    assert!(matches!(plan.exporters[1].protocol, Protocol::Collectd(_)));
}

#[test]
fn all_faults_are_told_and_no_password_is_shown() {
    let text = "sink a {\n  graphite 127.0.0.1:2003\n  collectd 127.0.0.1:9\n}\nsink b {\n  interval 1ms\n}\n\
                sink c {\n  graphite nowhere\n  sign key\n}\nsink d {\n  collectd 127.0.0.1:9\n  encrypt open\n}\n";
    let told = MetricsConfig::read("m.conf", text, secret).expect_err("faults").to_string();
    let lines = [
        "m.conf:1:1: a sink speaks one protocol; this one names several",
        "m.conf:5:1: a sink needs one of `graphite`, `graphite-pickle` or `collectd`, with its address",
        "m.conf:6:12: `interval`: `1ms`: allowed is 100ms to 1h",
        "m.conf:8:1: `sign` or `encrypt`, one of them, goes with `collectd`",
        "m.conf:8:1: a sink needs one of `graphite`, `graphite-pickle` or `collectd`, with its address",
        "m.conf:9:12: `graphite`: `nowhere`: not an address with its port, such as 127.0.0.1:2003",
        "m.conf:14:11: `encrypt`: `open`: others than its owner may use the key file",
    ];
    assert_eq!(told, lines.join("\n"));
    let good = MetricsConfig::read("m.conf", "sink a {\n  collectd 127.0.0.1:9\n  sign key\n}\n", secret)
        .expect("a plan");
    assert!(!format!("{good:?}").contains("secret"));
}
