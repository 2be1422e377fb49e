//! The formats byte by byte, the metrics's bounds, and random bytes against the reader.

use honeyknot_metrics::collectd::{
    MAX_PACKET_BYTES, PacketError, Security, decode_packet, encode_packets, encode_putvals,
};
use honeyknot_metrics::families::{METRIC_FAMILIES, MetricFamily, MetricKind};
use honeyknot_metrics::graphite::{PathStyle, decode_pickle, encode_lines, encode_pickles};
use honeyknot_metrics::registry::OTHERS_TAG_VALUE;
use honeyknot_metrics::stored::StoredMetrics;
use honeyknot_metrics::{MetricValue, MetricsRegistry, MetricsSnapshot, Sample, collectd};
use proptest::prelude::*;

fn point(name: &'static str, tag: Option<(&'static str, &str)>, value: MetricValue) -> Sample {
    Sample { name, statistic: "", tag: tag.map(|(n, v)| (n, v.to_owned())), value }
}

fn snapshot(samples: Vec<Sample>) -> MetricsSnapshot {
    MetricsSnapshot { timestamp: 1_700_000_000_500_000, samples }
}

fn sample() -> MetricsSnapshot {
    snapshot(vec![
        point("refused", Some(("reason", "site limit")), MetricValue::Counter(7)),
        point("sessions", None, MetricValue::Gauge(2.5)),
    ])
}

#[test]
fn graphite_lines_are_paths_values_and_seconds() {
    let plain = "edge.n_1.refused.reason.site_limit 7 1700000000\nedge.n_1.sessions 2.5 1700000000\n";
    assert_eq!(encode_lines("edge.n 1.", &sample(), PathStyle::Nodes), plain);
    let tagged = "edge.refused;reason=site_limit 7 1700000000\nedge.sessions 2.5 1700000000\n";
    assert_eq!(encode_lines("edge", &sample(), PathStyle::Tags), tagged);
    let odd = snapshot(vec![
        point("x", Some(("site", "~a;b\nc.d")), MetricValue::Gauge(f64::NAN)),
        point("y", Some(("site", "~a;b\nc.d")), MetricValue::Counter(1)),
    ]);
    assert_eq!(encode_lines("", &odd, PathStyle::Tags), "y;site=_a_b_c.d 1 1700000000\n");
    let long = snapshot(vec![point("y", Some(("site", &"é".repeat(400))), MetricValue::Counter(1))]);
    assert!(encode_lines("", &long, PathStyle::Tags).len() < 270);
}

#[test]
fn graphite_pickles_have_their_length_before_them_and_are_bounded() {
    let frames = encode_pickles("edge", &sample(), PathStyle::Nodes).expect("a pickle");
    assert_eq!(&frames[0][4..6], b"\x80\x02");
    let list = decode_pickle(&frames[0]).expect("a list");
    let expected = [
        ("edge.refused.reason.site_limit".to_owned(), (1_700_000_000, 7.0)),
        ("edge.sessions".to_owned(), (1_700_000_000, 2.5)),
    ];
    assert_eq!(list, expected);
    let many = snapshot(vec![point("y", None, MetricValue::Counter(1)); 1_201]);
    assert_eq!(encode_pickles("", &many, PathStyle::Nodes).expect("pickles").len(), 3);
}

#[test]
fn collectd_packets_are_the_published_parts() {
    let packets = encode_packets("h", "i", &sample(), 10_000_000, &Security::None, || [0; 16]);
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

fn user(user: &str) -> Option<String> {
    (user == "edge").then(|| "secret".to_owned())
}

#[test]
fn signed_and_encrypted_packets_are_read_with_the_right_password_alone() {
    let (name, password) = ("edge".to_owned(), "secret".to_owned());
    let sign = Security::Sign { user: name.clone(), password: password.clone() };
    let encrypt = Security::Encrypt { user: name, password };
    for security in [sign, encrypt] {
        let packet = encode_packets("h", "i", &sample(), 10_000_000, &security, || [9; 16]).remove(0);
        let found = decode_packet(&packet, Some(&user)).expect("a genuine packet");
        assert_eq!(found.len(), 2);
        assert_eq!(
            (found[0].timestamp, found[0].value, found[1].value),
            (sample().timestamp, MetricValue::Counter(7), MetricValue::Gauge(2.5))
        );
        let wrong = |_: &str| Some("other".to_owned());
        assert_eq!(decode_packet(&packet, Some(&wrong)), Err(PacketError::NotGenuine("edge".into())));
        for bit in 0..packet.len() * 8 {
            let mut torn = packet.clone();
            torn[bit / 8] ^= 1 << (bit % 8);
            // A flip within the initialisation vector or the content spoils the sum; none may pass as genuine.
            assert!(decode_packet(&torn, Some(&user)).is_err(), "bit {bit}");
        }
    }
    let bare = encode_packets("h", "i", &sample(), 10_000_000, &Security::None, || [0; 16]).remove(0);
    assert_eq!(decode_packet(&bare, Some(&user)), Err(PacketError::Unprotected));
}

#[test]
fn packets_stay_within_the_size_and_lose_nothing() {
    let many: Vec<Sample> = (0..10_000)
        .map(|n| point("placed", Some(("site", &format!("site-{n}"))), MetricValue::Counter(n)))
        .collect();
    let security = Security::Encrypt { user: "edge".into(), password: "secret".into() };
    let packets = encode_packets("host", "life", &snapshot(many), 10_000_000, &security, || [3; 16]);
    assert!(packets.iter().all(|p| p.len() <= MAX_PACKET_BYTES));
    let found: Vec<_> =
        packets.iter().flat_map(|p| decode_packet(p, Some(&user)).expect("a packet")).collect();
    assert_eq!(found.len(), 10_000);
    assert!(
        found
            .iter()
            .enumerate()
            .all(|(n, f)| f.value == MetricValue::Counter(n as u64) && f.type_name == "derive")
    );
}

#[test]
fn the_text_protocol_puts_a_value_a_line() {
    let text = encode_putvals("n 1", "i", &sample(), 10_000_000);
    let expected = "PUTVAL \"n_1/honeyknot-i/derive-refused-site_limit\" interval=10.000 1700000000.500:7\n\
                    PUTVAL \"n_1/honeyknot-i/gauge-sessions\" interval=10.000 1700000000.500:2.5\n";
    assert_eq!(text, expected);
}

#[test]
fn a_book_counts_and_its_open_tags_are_bounded() {
    let mut metrics = MetricsRegistry::new(3);
    metrics.increment(MetricFamily::RequestsRejected, "site_limit");
    metrics.increment(MetricFamily::RequestsRejected, "no such reason");
    metrics.add(MetricFamily::RequestsRejected, 99, 1);
    metrics.set(MetricFamily::EstablishedConnections, 4.0);
    (1..=1_000).for_each(|us| metrics.record(MetricFamily::SetupLatency, us));
    (0..10_000).for_each(|n| metrics.add_dynamic(MetricFamily::AttemptsByZone, &format!("site-{n}"), 1));
    let snapshot = metrics.snapshot(5);
    let value = |name: &str, part: &str, tag: &str| {
        let found = |p: &&Sample| {
            p.name == name && p.statistic == part && p.tag.as_ref().map_or("", |(_, value)| value) == tag
        };
        snapshot.samples.iter().find(found).map(|p| p.value)
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
fn names_are_of_one_form_and_differ() {
    for (place, name) in METRIC_FAMILIES.iter().enumerate() {
        let plain =
            |text: &str| text.chars().all(|c| c.is_ascii_lowercase() || c == '_' || c.is_ascii_digit());
        assert!(
            plain(name.name) && name.tag_values.iter().all(|v| plain(v)) && plain(name.tag),
            "{}",
            name.name
        );
        assert!(METRIC_FAMILIES[..place].iter().all(|other| other.name != name.name), "{}", name.name);
        assert!(
            !name.help.is_empty() && (name.tag.is_empty() || name.kind == MetricKind::Counter),
            "{}",
            name.name
        );
    }
    assert_eq!(MetricFamily::TimerLag.descriptor().name, "loop_lag");
}

#[test]
fn the_operators_table_is_the_codes() {
    let page = include_str!("../../../docs/operate/metrics.md");
    let told: Vec<&str> = page.lines().skip_while(|l| !l.starts_with("| name | kind")).skip(2).collect();
    let row = |name: &honeyknot_metrics::families::MetricDescriptor| {
        let values: Vec<String> = name.tag_values.iter().map(|v| format!("`{v}`")).collect();
        let kind = name.kind.as_str();
        format!(
            "| `{}` | {kind} | {} | {} | {} | {} |",
            name.name,
            name.unit,
            name.tag,
            values.join(", "),
            name.help
        )
    };
    let code: Vec<String> = METRIC_FAMILIES.iter().map(row).collect();
    assert_eq!(told, code);
}

#[test]
fn counts_since_a_reading_add_up_to_the_totals() {
    let mut metrics = MetricsRegistry::new(3);
    metrics.add(MetricFamily::Established, 0, 5);
    let first = metrics.snapshot(1);
    metrics.add(MetricFamily::Established, 0, 2);
    metrics.add_dynamic(MetricFamily::AttemptsByZone, "tema", 1);
    let second = metrics.snapshot(2);
    let grown = |later: &MetricsSnapshot, earlier: Option<&MetricsSnapshot>, name: &str| {
        let point = later.since(earlier).samples.into_iter().find(|p| p.name == name);
        point.map(|p| p.value)
    };
    assert_eq!(grown(&first, None, "served"), Some(MetricValue::Counter(5)));
    assert_eq!(grown(&second, Some(&first), "served"), Some(MetricValue::Counter(2)));
    assert_eq!(grown(&second, Some(&first), "placed"), Some(MetricValue::Counter(1)));
}

fn counted() -> MetricsRegistry {
    let mut metrics = MetricsRegistry::new(3);
    metrics.increment(MetricFamily::RequestsRejected, "closing");
    metrics.add(MetricFamily::Established, 0, 1 << 40);
    ["tema", "kasoa", "accra", "ho"]
        .iter()
        .for_each(|site| metrics.add_dynamic(MetricFamily::AttemptsByZone, site, 2));
    (1..=5_000).for_each(|us| metrics.record(MetricFamily::SetupLatency, us));
    metrics
}

#[test]
fn a_book_comes_back_from_its_snapshot_and_counts_on() {
    let state = counted().to_stored("n0", 7, 3);
    let read = StoredMetrics::decode(&state.encode().expect("a snapshot")).expect("a sound snapshot");
    assert_eq!(read, state);
    let mut again = MetricsRegistry::new(3);
    assert_eq!(again.restore(&read), 0);
    assert_eq!(again.snapshot(9).samples, counted().snapshot(9).samples);
    let mut known = state.clone();
    known.counters[0].name = "no_such_name".to_owned();
    assert_eq!(MetricsRegistry::new(3).restore(&known), 1);
}

#[test]
fn a_snapshot_that_is_cut_or_has_any_bit_flipped_is_recognised() {
    let bytes = counted().to_stored("n0", 7, 3).encode().expect("a snapshot");
    for cut in 0..bytes.len() {
        assert!(StoredMetrics::decode(&bytes[..cut]).is_err(), "cut at {cut}");
    }
    for bit in 0..bytes.len() * 8 {
        let mut torn = bytes.clone();
        torn[bit / 8] ^= 1 << (bit % 8);
        assert!(StoredMetrics::decode(&torn).is_err(), "bit {bit}");
    }
    let longer = [&bytes[..], &[0]].concat();
    assert!(StoredMetrics::decode(&longer).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_panic_the_reader(bytes in prop::collection::vec(any::<u8>(), 0..200), at in 0usize..80, cut in 0usize..200) {
        let _ = collectd::decode_packet(&bytes, None);
        let _ = collectd::decode_packet(&bytes, Some(&user));
        let mut packet = encode_packets("h", "i", &sample(), 1, &Security::None, || [0; 16]).remove(0);
        let end = packet.len().min(at + bytes.len());
        if at < end {
            packet[at..end].copy_from_slice(&bytes[..end - at]);
        }
        packet.truncate(cut);
        let _ = collectd::decode_packet(&packet, None);
    }
}
