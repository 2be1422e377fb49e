//! Export and storage formats byte by byte, the caps of the registry, and decoding of damaged and random
//! bytes.

use honeyknot_metrics::collectd::{
    MAX_PACKET_BYTES, PacketError, Security, decode_packet, encode_packets, encode_putvals,
};
use honeyknot_metrics::families::{METRIC_FAMILIES, MetricFamily, MetricKind};
use honeyknot_metrics::graphite::{PathStyle, decode_pickle, encode_lines, encode_pickles};
use honeyknot_metrics::registry::OTHERS_TAG_VALUE;
use honeyknot_metrics::stored::StoredMetrics;
use honeyknot_metrics::{MetricValue, MetricsRegistry, MetricsSnapshot, Sample, collectd};
use proptest::prelude::*;

fn sample(name: &'static str, tag: Option<(&'static str, &str)>, value: MetricValue) -> Sample {
    Sample { name, statistic: "", tag: tag.map(|(n, v)| (n, v.to_owned())), value }
}

fn snapshot(samples: Vec<Sample>) -> MetricsSnapshot {
    MetricsSnapshot { timestamp: 1_700_000_000_500_000, samples }
}

fn example_snapshot() -> MetricsSnapshot {
    snapshot(vec![
        sample("refused", Some(("reason", "site limit")), MetricValue::Counter(7)),
        sample("sessions", None, MetricValue::Gauge(2.5)),
    ])
}

#[test]
fn graphite_lines_hold_path_value_and_unix_seconds() {
    let plain = "edge.n_1.refused.reason.site_limit 7 1700000000\nedge.n_1.sessions 2.5 1700000000\n";
    assert_eq!(encode_lines("edge.n 1.", &example_snapshot(), PathStyle::Nodes), plain);
    let tagged = "edge.refused;reason=site_limit 7 1700000000\nedge.sessions 2.5 1700000000\n";
    assert_eq!(encode_lines("edge", &example_snapshot(), PathStyle::Tags), tagged);
    let special_characters = snapshot(vec![
        sample("x", Some(("site", "~a;b\nc.d")), MetricValue::Gauge(f64::NAN)),
        sample("y", Some(("site", "~a;b\nc.d")), MetricValue::Counter(1)),
    ]);
    assert_eq!(encode_lines("", &special_characters, PathStyle::Tags), "y;site=_a_b_c.d 1 1700000000\n");
    let long = snapshot(vec![sample("y", Some(("site", &"é".repeat(400))), MetricValue::Counter(1))]);
    assert!(encode_lines("", &long, PathStyle::Tags).len() < 270);
}

#[test]
fn graphite_pickles_have_a_length_prefix_and_a_maximum_number_of_samples() {
    let frames = encode_pickles("edge", &example_snapshot(), PathStyle::Nodes).expect("a pickle");
    assert_eq!(&frames[0][4..6], b"\x80\x02");
    let list = decode_pickle(&frames[0]).expect("a valid pickle");
    let expected = [
        ("edge.refused.reason.site_limit".to_owned(), (1_700_000_000, 7.0)),
        ("edge.sessions".to_owned(), (1_700_000_000, 2.5)),
    ];
    assert_eq!(list, expected);
    let many = snapshot(vec![sample("y", None, MetricValue::Counter(1)); 1_201]);
    assert_eq!(encode_pickles("", &many, PathStyle::Nodes).expect("pickles").len(), 3);
}

#[test]
fn collectd_packets_consist_of_the_documented_parts() {
    let packets = encode_packets("h", "i", &example_snapshot(), 10_000_000, &Security::None, || [0; 16]);
    let mut expected = Vec::new();
    let mut add = |bytes: &[u8]| expected.extend_from_slice(bytes);
    add(b"\x00\x00\x00\x06h\x00");
    // 1700000000.5 s and 10 s in units of 2^-30 s.
    add(b"\x00\x08\x00\x0c");
    add(&((1_700_000_000u64 << 30) + (1 << 29)).to_be_bytes());
    add(b"\x00\x09\x00\x0c\x00\x00\x00\x02\x80\x00\x00\x00");
    add(b"\x00\x02\x00\x0ehoneyknot\x00");
    add(b"\x00\x03\x00\x06i\x00");
    add(b"\x00\x04\x00\x0bderive\x00");
    add(b"\x00\x05\x00\x17refused-site limit\x00");
    add(b"\x00\x06\x00\x0f\x00\x01\x02\x00\x00\x00\x00\x00\x00\x00\x07");
    add(b"\x00\x04\x00\x0agauge\x00");
    add(b"\x00\x05\x00\x0dsessions\x00");
    add(b"\x00\x06\x00\x0f\x00\x01\x01\x00\x00\x00\x00\x00\x00\x04\x40");
    assert_eq!(packets, [expected]);
}

/// Returns the password of the only known user.
fn password_of(user: &str) -> Option<String> {
    (user == "edge").then(|| "secret".to_owned())
}

#[test]
fn signed_and_encrypted_packets_are_decoded_only_with_the_right_password() {
    let (name, password) = ("edge".to_owned(), "secret".to_owned());
    let sign = Security::Sign { user: name.clone(), password: password.clone() };
    let encrypt = Security::Encrypt { user: name, password };
    for security in [sign, encrypt] {
        let packet =
            encode_packets("h", "i", &example_snapshot(), 10_000_000, &security, || [9; 16]).remove(0);
        let found = decode_packet(&packet, Some(&password_of)).expect("a genuine packet");
        assert_eq!(found.len(), 2);
        assert_eq!(
            (found[0].timestamp, found[0].value, found[1].value),
            (example_snapshot().timestamp, MetricValue::Counter(7), MetricValue::Gauge(2.5))
        );
        let wrong = |_: &str| Some("other".to_owned());
        assert_eq!(decode_packet(&packet, Some(&wrong)), Err(PacketError::VerificationFailed("edge".into())));
        for bit in 0..packet.len() * 8 {
            let mut damaged = packet.clone();
            damaged[bit / 8] ^= 1 << (bit % 8);
            // Even a flipped bit in the initialization vector or the content must be detected by the
            // checksum.
            assert!(decode_packet(&damaged, Some(&password_of)).is_err(), "bit {bit}");
        }
    }
    let unprotected =
        encode_packets("h", "i", &example_snapshot(), 10_000_000, &Security::None, || [0; 16]).remove(0);
    assert_eq!(decode_packet(&unprotected, Some(&password_of)), Err(PacketError::Unprotected));
}

#[test]
fn many_samples_are_split_into_packets_within_the_maximum_size() {
    let many: Vec<Sample> = (0..10_000)
        .map(|n| sample("placed", Some(("site", &format!("site-{n}"))), MetricValue::Counter(n)))
        .collect();
    let security = Security::Encrypt { user: "edge".into(), password: "secret".into() };
    let packets = encode_packets("host", "life", &snapshot(many), 10_000_000, &security, || [3; 16]);
    assert!(packets.iter().all(|packet| packet.len() <= MAX_PACKET_BYTES));
    let found: Vec<_> = packets
        .iter()
        .flat_map(|packet| decode_packet(packet, Some(&password_of)).expect("a packet"))
        .collect();
    assert_eq!(found.len(), 10_000);
    assert!(
        found
            .iter()
            .enumerate()
            .all(|(n, f)| f.value == MetricValue::Counter(n as u64) && f.type_name == "derive")
    );
}

#[test]
fn plain_text_protocol_has_one_putval_line_per_sample() {
    let text = encode_putvals("n 1", "i", &example_snapshot(), 10_000_000);
    let expected = "PUTVAL \"n_1/honeyknot-i/derive-refused-site_limit\" interval=10.000 1700000000.500:7\n\
                    PUTVAL \"n_1/honeyknot-i/gauge-sessions\" interval=10.000 1700000000.500:2.5\n";
    assert_eq!(text, expected);
}

#[test]
fn registry_counts_and_dynamic_tag_values_are_capped() {
    let mut metrics = MetricsRegistry::new(3);
    metrics.increment(MetricFamily::RequestsRejected, "site_limit");
    metrics.increment(MetricFamily::RequestsRejected, "no such reason");
    metrics.add(MetricFamily::RequestsRejected, 99, 1);
    metrics.set(MetricFamily::EstablishedConnections, 4.0);
    (1..=1_000).for_each(|us| metrics.record(MetricFamily::SetupLatency, us));
    (0..10_000).for_each(|n| metrics.add_dynamic(MetricFamily::AttemptsByZone, &format!("site-{n}"), 1));
    let snapshot = metrics.snapshot(5);
    let value = |name: &str, statistic: &str, tag: &str| {
        let is_wanted = |sample: &&Sample| {
            sample.name == name
                && sample.statistic == statistic
                && sample.tag.as_ref().map_or("", |(_, value)| value) == tag
        };
        snapshot.samples.iter().find(is_wanted).map(|sample| sample.value)
    };
    assert_eq!(value("refused", "", "site_limit"), Some(MetricValue::Counter(1)));
    assert_eq!(value("refused", "", "closing"), Some(MetricValue::Counter(0)));
    assert_eq!(value("sessions", "", ""), Some(MetricValue::Gauge(4.0)));
    assert_eq!(value("setup", "count", ""), Some(MetricValue::Counter(1_000)));
    assert!(
        matches!(value("setup", "p99", ""), Some(MetricValue::Gauge(us)) if (980.0..=1_000.0).contains(&us))
    );
    assert_eq!(value("message", "p99", ""), None);
    assert_eq!(value("placed", "", OTHERS_TAG_VALUE), Some(MetricValue::Counter(9_997)));
    assert!(snapshot.samples.len() < 100);
}

#[test]
fn family_names_are_lower_case_and_unique() {
    for (index, family) in METRIC_FAMILIES.iter().enumerate() {
        let is_plain =
            |text: &str| text.chars().all(|c| c.is_ascii_lowercase() || c == '_' || c.is_ascii_digit());
        assert!(
            is_plain(family.name)
                && family.tag_values.iter().all(|value| is_plain(value))
                && is_plain(family.tag),
            "{}",
            family.name
        );
        assert!(METRIC_FAMILIES[..index].iter().all(|other| other.name != family.name), "{}", family.name);
        assert!(
            !family.help.is_empty() && (family.tag.is_empty() || family.kind == MetricKind::Counter),
            "{}",
            family.name
        );
    }
    assert_eq!(MetricFamily::TimerLag.descriptor().name, "loop_lag");
}

#[test]
fn table_in_the_operators_page_matches_the_code() {
    let page = include_str!("../../../docs/operate/metrics.md");
    let page_rows: Vec<&str> = page.lines().skip_while(|l| !l.starts_with("| name | kind")).skip(2).collect();
    let row = |family: &honeyknot_metrics::families::MetricDescriptor| {
        let values: Vec<String> = family.tag_values.iter().map(|value| format!("`{value}`")).collect();
        let kind = family.kind.as_str();
        format!(
            "| `{}` | {kind} | {} | {} | {} | {} |",
            family.name,
            family.unit,
            family.tag,
            values.join(", "),
            family.help
        )
    };
    let code_rows: Vec<String> = METRIC_FAMILIES.iter().map(row).collect();
    assert_eq!(page_rows, code_rows);
}

#[test]
fn increments_between_snapshots_add_up_to_the_totals() {
    let mut metrics = MetricsRegistry::new(3);
    metrics.add(MetricFamily::Established, 0, 5);
    let first = metrics.snapshot(1);
    metrics.add(MetricFamily::Established, 0, 2);
    metrics.add_dynamic(MetricFamily::AttemptsByZone, "tema", 1);
    let second = metrics.snapshot(2);
    let increment = |later: &MetricsSnapshot, earlier: Option<&MetricsSnapshot>, name: &str| {
        let sample = later.since(earlier).samples.into_iter().find(|sample| sample.name == name);
        sample.map(|sample| sample.value)
    };
    assert_eq!(increment(&first, None, "served"), Some(MetricValue::Counter(5)));
    assert_eq!(increment(&second, Some(&first), "served"), Some(MetricValue::Counter(2)));
    assert_eq!(increment(&second, Some(&first), "placed"), Some(MetricValue::Counter(1)));
}

fn example_registry() -> MetricsRegistry {
    let mut metrics = MetricsRegistry::new(3);
    metrics.increment(MetricFamily::RequestsRejected, "closing");
    metrics.add(MetricFamily::Established, 0, 1 << 40);
    ["tema", "kasoa", "accra", "ho"]
        .iter()
        .for_each(|zone| metrics.add_dynamic(MetricFamily::AttemptsByZone, zone, 2));
    (1..=5_000).for_each(|us| metrics.record(MetricFamily::SetupLatency, us));
    metrics
}

#[test]
fn registry_is_restored_from_its_stored_snapshot() {
    let state = example_registry().to_stored("n0", 7, 3);
    let read = StoredMetrics::decode(&state.encode().expect("a snapshot")).expect("a valid snapshot");
    assert_eq!(read, state);
    let mut restored = MetricsRegistry::new(3);
    assert_eq!(restored.restore(&read), 0);
    assert_eq!(restored.snapshot(9).samples, example_registry().snapshot(9).samples);
    let mut with_unknown_name = state.clone();
    with_unknown_name.counters[0].name = "no_such_name".to_owned();
    assert_eq!(MetricsRegistry::new(3).restore(&with_unknown_name), 1);
}

#[test]
fn truncated_snapshot_or_one_with_a_flipped_bit_is_rejected() {
    let bytes = example_registry().to_stored("n0", 7, 3).encode().expect("a snapshot");
    for cut in 0..bytes.len() {
        assert!(StoredMetrics::decode(&bytes[..cut]).is_err(), "cut at {cut}");
    }
    for bit in 0..bytes.len() * 8 {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        assert!(StoredMetrics::decode(&damaged).is_err(), "bit {bit}");
    }
    let longer = [&bytes[..], &[0]].concat();
    assert!(StoredMetrics::decode(&longer).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), at in 0usize..80, cut in 0usize..200) {
        let _ = collectd::decode_packet(&bytes, None);
        let _ = collectd::decode_packet(&bytes, Some(&password_of));
        let mut packet = encode_packets("h", "i", &example_snapshot(), 1, &Security::None, || [0; 16]).remove(0);
        let end = packet.len().min(at + bytes.len());
        if at < end {
            packet[at..end].copy_from_slice(&bytes[..end - at]);
        }
        packet.truncate(cut);
        let _ = collectd::decode_packet(&packet, None);
    }
}
