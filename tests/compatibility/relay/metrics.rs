//! Metric names, exporter protocols, persistent counters and the spool.

use std::fs;

use honeyknot_metrics::collectd::{self, ReceivedValue, Security};
use honeyknot_metrics::families::{METRIC_FAMILIES, MetricFamily, MetricKind};
use honeyknot_metrics::graphite::{self, PathStyle};
use honeyknot_metrics::spool_record::{self, ValidPrefix};
use honeyknot_metrics::stored::{CounterState, HistogramState, StoredMetrics};
use honeyknot_metrics::{MetricValue, MetricsConfig, MetricsRegistry, MetricsSnapshot};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpListener;

use super::loopback::{Relay, config, run_case};
use super::process::ScratchDirectory;
use super::{address, fixture, fixture_text};

/// Each line: name, kind, unit, tag and values of the tag of a metric family, separated by tabs.
pub const METRIC_NAMES: &str = "metric-names.tsv";
/// Fixture of persistent counters, named as in the state directory.
const SNAPSHOT: &str = "state-0000000000000007.snap";
/// Fixture of a spool segment, named as in the directory of a spool.
const SEGMENT: &str = "wait-0000000000000001.spool";
/// Time of the snapshot in the fixtures, in microseconds since the Unix epoch.
const TAKEN_AT_MICROS: u64 = 1_700_000_000_250_000;
/// Interval of the sink, which packets contain, in microseconds.
const INTERVAL_MICROS: u64 = 10_000_000;
/// Initialization vector of the encrypted fixture.
const INITIALIZATION_VECTOR: [u8; 16] = *b"0123456789abcdef";
/// Maximum number of values of a dynamic tag in the recorded registry.
const SERIES_CAP: usize = 2;

/// Returns the registry that the fixtures were written from: families of every kind, and a dynamic tag with
/// more values than [`SERIES_CAP`].
fn recorded_registry() -> MetricsRegistry {
    let mut registry = MetricsRegistry::new(SERIES_CAP);
    registry.add(MetricFamily::Requests, 0, 9_007_199_254_740_993);
    registry.increment(MetricFamily::RequestsRejected, "closing");
    registry.add(MetricFamily::Attempts, 0, 3);
    registry.add_dynamic(MetricFamily::AttemptsByZone, "tema", 4);
    registry.add_dynamic(MetricFamily::AttemptsByZone, "kasoa east", 2);
    registry.add_dynamic(MetricFamily::AttemptsByZone, "accra-north", 7);
    registry.set(MetricFamily::EstablishedConnections, 12.0);
    registry.set(MetricFamily::DiscoveryAge, 1.5);
    for us in [900, 1_500, 1_500, 250_000] {
        registry.record(MetricFamily::SetupLatency, us);
    }
    registry
}

fn recorded_snapshot() -> MetricsSnapshot {
    recorded_registry().snapshot(TAKEN_AT_MICROS)
}

fn kind_name(kind: MetricKind) -> &'static str {
    match kind {
        MetricKind::Counter => "total",
        MetricKind::Gauge => "gauge",
        MetricKind::Histogram => "histogram",
    }
}

#[test]
fn metrics_have_the_names_kinds_units_and_tags_of_the_previous_version() {
    let lines = METRIC_FAMILIES.iter().map(|family| {
        let (kind, values) = (kind_name(family.kind), family.tag_values.join(","));
        format!("{}\t{kind}\t{}\t{}\t{values}\n", family.name, family.unit, family.tag)
    });
    assert_eq!(lines.collect::<String>(), fixture_text(METRIC_NAMES));
}

#[test]
fn a_snapshot_is_sent_to_graphite_as_plaintext_as_by_the_previous_version() {
    let text = fixture_text("graphite-nodes.txt");
    assert!(text.contains("honeyknot.n0.refused.reason.closing 1 1700000000\n"));
    assert!(text.contains("honeyknot.n0.placed.site.others 7 1700000000\n"));
    assert_eq!(graphite::encode_lines("honeyknot.n0", &recorded_snapshot(), PathStyle::Nodes), text);
    let tagged = fixture_text("graphite-tags.txt");
    assert!(tagged.contains("honeyknot.n0.refused;reason=closing 1 1700000000\n"));
    assert_eq!(graphite::encode_lines("honeyknot.n0", &recorded_snapshot(), PathStyle::Tags), tagged);
}

#[test]
fn a_snapshot_is_sent_to_graphite_as_a_pickle_as_by_the_previous_version() {
    let frame = fixture("graphite.pickle");
    let points = graphite::decode_pickle(&frame).expect("a valid pickle");
    let point = |path: &str, value| (path.to_owned(), (1_700_000_000, value));
    assert!(points.contains(&point("honeyknot.n0.placed.site.tema", 4.0)));
    assert!(points.contains(&point("honeyknot.n0.setup.count", 4.0)));
    assert!(points.contains(&point("honeyknot.n0.roll_age", 1.5)));
    let written = graphite::encode_pickles("honeyknot.n0", &recorded_snapshot(), PathStyle::Nodes)
        .expect("a valid pickle");
    assert_eq!(written, [frame]);
}

/// Returns the packets of a fixture with one packet per line, in hexadecimal digits.
fn packets(name: &str) -> Vec<Vec<u8>> {
    let byte = |digits: &[u8]| {
        let digits = std::str::from_utf8(digits).expect("the digits are UTF-8");
        u8::from_str_radix(digits, 16).expect("two hexadecimal digits")
    };
    let packet = |line: &str| line.as_bytes().chunks(2).map(byte).collect();
    fixture_text(name).lines().map(packet).collect()
}

fn write_packets(security: &Security) -> Vec<Vec<u8>> {
    collectd::encode_packets("n0", "relay", &recorded_snapshot(), INTERVAL_MICROS, security, || {
        INITIALIZATION_VECTOR
    })
}

/// The first value of the recorded registry, as collectd receives it.
fn first_received() -> ReceivedValue {
    ReceivedValue {
        host: "n0".into(),
        plugin_instance: "relay".into(),
        type_name: "derive".into(),
        type_instance: "requests".into(),
        timestamp: TAKEN_AT_MICROS,
        value: MetricValue::Counter(9_007_199_254_740_993),
    }
}

fn assert_packets(name: &str, security: &Security, passwords: Option<collectd::PasswordLookup>) {
    let recorded = packets(name);
    let received: Vec<ReceivedValue> = recorded
        .iter()
        .flat_map(|packet| collectd::decode_packet(packet, passwords).expect("a valid packet"))
        .collect();
    assert_eq!(received.first(), Some(&first_received()));
    assert_eq!(received.len(), recorded_snapshot().samples.len());
    assert_eq!(write_packets(security), recorded);
}

#[test]
fn a_snapshot_is_sent_to_collectd_as_by_the_previous_version() {
    assert_packets("collectd-plain.hex", &Security::None, None);
}

#[test]
fn a_signed_or_encrypted_snapshot_is_sent_to_collectd_as_by_the_previous_version() {
    let (user, password) = ("edge".to_owned(), "secret".to_owned());
    let passwords = |name: &str| (name == "edge").then(|| "secret".to_owned());
    let sign = Security::Sign { user: user.clone(), password: password.clone() };
    assert_packets("collectd-signed.hex", &sign, Some(&passwords));
    assert_packets("collectd-encrypted.hex", &Security::Encrypt { user, password }, Some(&passwords));
}

#[test]
fn a_snapshot_is_written_as_collectd_putval_lines_as_by_the_previous_version() {
    let text = collectd::encode_putvals("n0", "relay", &recorded_snapshot(), INTERVAL_MICROS);
    assert_eq!(text, fixture_text("collectd-putval.txt"));
}

fn counter(name: &str, value: &str, total: u64) -> CounterState {
    CounterState { name: name.into(), tag_value: value.into(), total }
}

fn histogram(name: &str, counts: &[(u64, u64)]) -> HistogramState {
    HistogramState { name: name.into(), counts: counts.to_vec() }
}

/// Returns the persistent counters in the fixture.
fn persistent_counters() -> StoredMetrics {
    StoredMetrics {
        relay: "n0".into(),
        timestamp: TAKEN_AT_MICROS,
        incarnation: 3,
        counters: vec![
            counter("requests", "", 9_007_199_254_740_993),
            counter("refused", "closing", 1),
            counter("attempts", "up", 3),
            counter("placed", "kasoa east", 2),
            counter("placed", "others", 7),
            counter("placed", "tema", 4),
        ],
        histograms: vec![
            histogram("setup", &[(903, 1), (1_503, 2), (250_879, 1)]),
            histogram("refusal", &[]),
            histogram("message", &[]),
            histogram("probe", &[]),
            histogram("loop_lag", &[]),
        ],
    }
}

#[test]
fn persistent_counters_of_the_previous_version_are_read_and_written_unchanged() {
    let bytes = fixture(SNAPSHOT);
    let counters = StoredMetrics::decode(&bytes).expect("a valid snapshot");
    assert_eq!(counters, persistent_counters());
    assert_eq!(counters.encode().expect("the snapshot is encoded"), bytes);
}

#[test]
fn a_registry_is_restored_from_persistent_counters_of_the_previous_version_and_saved_unchanged() {
    let bytes = fixture(SNAPSHOT);
    let counters = StoredMetrics::decode(&bytes).expect("a valid snapshot");
    let mut registry = MetricsRegistry::new(SERIES_CAP);
    assert_eq!(registry.restore(&counters), 0);
    assert_eq!(
        registry.to_stored("n0", TAKEN_AT_MICROS, 3).encode().expect("the snapshot is encoded"),
        bytes
    );
}

/// Returns the frames of the fixture's segment and the number of samples in each.
fn spooled_frames() -> [(&'static [u8], u32); 2] {
    [
        (b"honeyknot.n0.requests 5 1699999980\nhoneyknot.n0.served 4 1699999980\n", 2),
        (b"honeyknot.n0.requests 6 1699999990\n", 1),
    ]
}

#[test]
fn a_spool_segment_of_the_previous_version_is_read_and_written_unchanged() {
    let bytes = fixture(SEGMENT);
    assert_eq!(
        spool_record::valid_prefix(&bytes),
        ValidPrefix { bytes: bytes.len(), records: 2, samples: 3 }
    );
    let (mut offset, mut written) = (0, Vec::new());
    for (frame, samples) in spooled_frames() {
        let record = spool_record::decode_first(&bytes[offset..]).expect("a valid record");
        assert_eq!((&record.frame[..], record.samples), (frame, samples));
        written.extend(spool_record::encode(&record.frame, record.samples).expect("the record is encoded"));
        offset += record.size_bytes;
    }
    assert_eq!(written, bytes);
}

/// Returns the lines that a Graphite sink receives, up to and including the first that starts with `prefix`.
async fn lines_up_to(sink: &TcpListener, prefix: &str) -> Vec<String> {
    let (stream, _) = sink.accept().await.expect("the connection is accepted");
    let mut received = BufReader::new(stream).lines();
    let mut lines = Vec::new();
    while let Some(line) = received.next_line().await.expect("the line is read") {
        let last = line.starts_with(prefix);
        lines.push(line);
        if last {
            return lines;
        }
    }
    panic!("no `{prefix}` in {lines:?}");
}

#[test]
fn a_relay_restores_the_state_directory_of_the_previous_version_and_sends_its_spooled_frames_first() {
    run_case(async {
        let scratch = ScratchDirectory::new("frozen-metrics");
        let spool = scratch.0.join("spool-main_sink");
        fs::create_dir(&spool).expect("the directory is created");
        fs::write(scratch.0.join(SNAPSHOT), fixture(SNAPSHOT)).expect("the file is written");
        fs::write(spool.join(SEGMENT), fixture(SEGMENT)).expect("the file is written");
        let sink = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let sink_address = sink.local_addr().expect("the sink has an address");
        let text = format!(
            "state {}\nsink main.sink {{\n  graphite {sink_address}\n  interval 1s\n  spool 4MiB\n}}\n",
            scratch.0.display()
        );
        let metrics_config = MetricsConfig::read("metrics.conf", &text, |_| Err("no key file".into()));
        let mut config = config(&[], 256, address("127.0.0.1:1")).expect("a valid configuration");
        config.metrics = Some(metrics_config.expect("a valid metrics file"));
        let _relay = Relay::with_directory(config, None).await;
        let lines = lines_up_to(&sink, "honeyknot.n0.placed.site.tema ").await;
        let spooled: Vec<u8> = spooled_frames().iter().flat_map(|(frame, _)| frame.to_vec()).collect();
        let spooled = String::from_utf8(spooled).expect("the frames are UTF-8");
        assert_eq!(lines[..3], spooled.lines().collect::<Vec<_>>());
        let last_value = |path: &str| {
            let line =
                lines[3..].iter().find_map(|line| line.strip_prefix(path)).expect("the series is sent");
            line.trim_start().split(' ').next().map(str::to_owned).expect("the line has a value")
        };
        assert_eq!(last_value("honeyknot.n0.requests "), "9007199254740993");
        assert_eq!(last_value("honeyknot.n0.refused.reason.closing "), "1");
        assert_eq!(last_value("honeyknot.n0.placed.site.tema "), "4");
        assert!(scratch.0.join("state-0000000000000008.snap").exists());
        let snapshot =
            fs::read(scratch.0.join("state-0000000000000008.snap")).expect("the snapshot is readable");
        let snapshot = StoredMetrics::decode(&snapshot).expect("a valid snapshot");
        assert_eq!((snapshot.relay.as_str(), snapshot.incarnation), ("n0", 4));
    });
}
