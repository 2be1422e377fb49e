//! The formats byte by byte, the book's bounds, and random bytes against the reader.

use honeyknot_metrics::book::{OTHERS, Point, Reading, Value};
use honeyknot_metrics::collectd::{PACKET, Security, Unread, packets, putvals, read};
use honeyknot_metrics::graphite::{Paths, lines, pickles, read_pickle};
use honeyknot_metrics::names::{Family, Kind, NAMES};
use honeyknot_metrics::state::State;
use honeyknot_metrics::{Book, collectd};
use proptest::prelude::*;

fn point(name: &'static str, tag: Option<(&'static str, &str)>, value: Value) -> Point {
    Point { name, part: "", tag: tag.map(|(n, v)| (n, v.to_owned())), value }
}

fn reading(points: Vec<Point>) -> Reading {
    Reading { at: 1_700_000_000_500_000, points }
}

fn sample() -> Reading {
    reading(vec![
        point("refused", Some(("reason", "site limit")), Value::Total(7)),
        point("sessions", None, Value::Gauge(2.5)),
    ])
}

#[test]
fn graphite_lines_are_paths_values_and_seconds() {
    let plain = "edge.n_1.refused.reason.site_limit 7 1700000000\nedge.n_1.sessions 2.5 1700000000\n";
    assert_eq!(lines("edge.n 1.", &sample(), Paths::Nodes), plain);
    let tagged = "edge.refused;reason=site_limit 7 1700000000\nedge.sessions 2.5 1700000000\n";
    assert_eq!(lines("edge", &sample(), Paths::Tags), tagged);
    let odd = reading(vec![
        point("x", Some(("site", "~a;b\nc.d")), Value::Gauge(f64::NAN)),
        point("y", Some(("site", "~a;b\nc.d")), Value::Total(1)),
    ]);
    assert_eq!(lines("", &odd, Paths::Tags), "y;site=_a_b_c.d 1 1700000000\n");
    let long = reading(vec![point("y", Some(("site", &"é".repeat(400))), Value::Total(1))]);
    assert!(lines("", &long, Paths::Tags).len() < 270);
}

#[test]
fn graphite_pickles_have_their_length_before_them_and_are_bounded() {
    let frames = pickles("edge", &sample(), Paths::Nodes).expect("a pickle");
    assert_eq!(&frames[0][4..6], b"\x80\x02");
    let list = read_pickle(&frames[0]).expect("a list");
    let expected = [
        ("edge.refused.reason.site_limit".to_owned(), (1_700_000_000, 7.0)),
        ("edge.sessions".to_owned(), (1_700_000_000, 2.5)),
    ];
    assert_eq!(list, expected);
    let many = reading(vec![point("y", None, Value::Total(1)); 1_201]);
    assert_eq!(pickles("", &many, Paths::Nodes).expect("pickles").len(), 3);
}

#[test]
fn collectd_packets_are_the_published_parts() {
    let packets = packets("h", "i", &sample(), 10_000_000, &Security::None, || [0; 16]);
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
        let packet = packets("h", "i", &sample(), 10_000_000, &security, || [9; 16]).remove(0);
        let found = read(&packet, Some(&user)).expect("a genuine packet");
        assert_eq!(found.len(), 2);
        assert_eq!(
            (found[0].at, found[0].value, found[1].value),
            (sample().at, Value::Total(7), Value::Gauge(2.5))
        );
        let wrong = |_: &str| Some("other".to_owned());
        assert_eq!(read(&packet, Some(&wrong)), Err(Unread::NotGenuine("edge".into())));
        for bit in 0..packet.len() * 8 {
            let mut torn = packet.clone();
            torn[bit / 8] ^= 1 << (bit % 8);
            // A flip within the initialisation vector or the content spoils the sum; none may pass as genuine.
            assert!(read(&torn, Some(&user)).is_err(), "bit {bit}");
        }
    }
    let bare = packets("h", "i", &sample(), 10_000_000, &Security::None, || [0; 16]).remove(0);
    assert_eq!(read(&bare, Some(&user)), Err(Unread::Unprotected));
}

#[test]
fn packets_stay_within_the_size_and_lose_nothing() {
    let many: Vec<Point> =
        (0..10_000).map(|n| point("placed", Some(("site", &format!("site-{n}"))), Value::Total(n))).collect();
    let security = Security::Encrypt { user: "edge".into(), password: "secret".into() };
    let packets = packets("host", "life", &reading(many), 10_000_000, &security, || [3; 16]);
    assert!(packets.iter().all(|p| p.len() <= PACKET));
    let found: Vec<_> = packets.iter().flat_map(|p| read(p, Some(&user)).expect("a packet")).collect();
    assert_eq!(found.len(), 10_000);
    assert!(found.iter().enumerate().all(|(n, f)| f.value == Value::Total(n as u64) && f.kind == "derive"));
}

#[test]
fn the_text_protocol_puts_a_value_a_line() {
    let text = putvals("n 1", "i", &sample(), 10_000_000);
    let expected = "PUTVAL \"n_1/honeyknot-i/derive-refused-site_limit\" interval=10.000 1700000000.500:7\n\
                    PUTVAL \"n_1/honeyknot-i/gauge-sessions\" interval=10.000 1700000000.500:2.5\n";
    assert_eq!(text, expected);
}

#[test]
fn a_book_counts_and_its_open_tags_are_bounded() {
    let mut book = Book::new(3);
    book.count(Family::Refused, "site_limit");
    book.count(Family::Refused, "no such reason");
    book.add(Family::Refused, 99, 1);
    book.set(Family::Sessions, 4.0);
    (1..=1_000).for_each(|us| book.record(Family::Setup, us));
    (0..10_000).for_each(|n| book.add_open(Family::Placed, &format!("site-{n}"), 1));
    let reading = book.read(5);
    let value = |name: &str, part: &str, tag: &str| {
        let found = |p: &&Point| {
            p.name == name && p.part == part && p.tag.as_ref().map_or("", |(_, value)| value) == tag
        };
        reading.points.iter().find(found).map(|p| p.value)
    };
    assert_eq!(value("refused", "", "site_limit"), Some(Value::Total(1)));
    assert_eq!(value("refused", "", "closing"), Some(Value::Total(0)));
    assert_eq!(value("sessions", "", ""), Some(Value::Gauge(4.0)));
    assert_eq!(value("setup", "count", ""), Some(Value::Total(1_000)));
    assert!(matches!(value("setup", "p99", ""), Some(Value::Gauge(us)) if (980.0..=1_000.0).contains(&us)));
    assert_eq!(value("message", "p99", ""), None);
    assert_eq!(value("placed", "", OTHERS), Some(Value::Total(9_997)));
    assert!(reading.points.len() < 100);
}

#[test]
fn names_are_of_one_form_and_differ() {
    for (place, name) in NAMES.iter().enumerate() {
        let plain =
            |text: &str| text.chars().all(|c| c.is_ascii_lowercase() || c == '_' || c.is_ascii_digit());
        assert!(plain(name.name) && name.values.iter().all(|v| plain(v)) && plain(name.tag), "{}", name.name);
        assert!(NAMES[..place].iter().all(|other| other.name != name.name), "{}", name.name);
        assert!(!name.help.is_empty() && (name.tag.is_empty() || name.kind == Kind::Total), "{}", name.name);
    }
    assert_eq!(Family::LoopLag.name().name, "loop_lag");
}

#[test]
fn the_operators_table_is_the_codes() {
    let page = include_str!("../../../docs/operate/metrics.md");
    let told: Vec<&str> = page.lines().skip_while(|l| !l.starts_with("| name | kind")).skip(2).collect();
    let row = |name: &honeyknot_metrics::names::Name| {
        let values: Vec<String> = name.values.iter().map(|v| format!("`{v}`")).collect();
        let kind = format!("{:?}", name.kind).to_lowercase();
        format!(
            "| `{}` | {kind} | {} | {} | {} | {} |",
            name.name,
            name.unit,
            name.tag,
            values.join(", "),
            name.help
        )
    };
    let code: Vec<String> = NAMES.iter().map(row).collect();
    assert_eq!(told, code);
}

#[test]
fn counts_since_a_reading_add_up_to_the_totals() {
    let mut book = Book::new(3);
    book.add(Family::Served, 0, 5);
    let first = book.read(1);
    book.add(Family::Served, 0, 2);
    book.add_open(Family::Placed, "tema", 1);
    let second = book.read(2);
    let grown = |later: &Reading, earlier: Option<&Reading>, name: &str| {
        let point = later.since(earlier).points.into_iter().find(|p| p.name == name);
        point.map(|p| p.value)
    };
    assert_eq!(grown(&first, None, "served"), Some(Value::Total(5)));
    assert_eq!(grown(&second, Some(&first), "served"), Some(Value::Total(2)));
    assert_eq!(grown(&second, Some(&first), "placed"), Some(Value::Total(1)));
}

fn counted() -> Book {
    let mut book = Book::new(3);
    book.count(Family::Refused, "closing");
    book.add(Family::Served, 0, 1 << 40);
    ["tema", "kasoa", "accra", "ho"].iter().for_each(|site| book.add_open(Family::Placed, site, 2));
    (1..=5_000).for_each(|us| book.record(Family::Setup, us));
    book
}

#[test]
fn a_book_comes_back_from_its_snapshot_and_counts_on() {
    let state = counted().state("n0", 7, 3);
    let read = State::decode(&state.encode().expect("a snapshot")).expect("a sound snapshot");
    assert_eq!(read, state);
    let mut again = Book::new(3);
    assert_eq!(again.restore(&read), 0);
    assert_eq!(again.read(9).points, counted().read(9).points);
    let mut known = state.clone();
    known.totals[0].name = "no_such_name".to_owned();
    assert_eq!(Book::new(3).restore(&known), 1);
}

#[test]
fn a_snapshot_that_is_cut_or_has_any_bit_flipped_is_recognised() {
    let bytes = counted().state("n0", 7, 3).encode().expect("a snapshot");
    for cut in 0..bytes.len() {
        assert!(State::decode(&bytes[..cut]).is_err(), "cut at {cut}");
    }
    for bit in 0..bytes.len() * 8 {
        let mut torn = bytes.clone();
        torn[bit / 8] ^= 1 << (bit % 8);
        assert!(State::decode(&torn).is_err(), "bit {bit}");
    }
    let longer = [&bytes[..], &[0]].concat();
    assert!(State::decode(&longer).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_panic_the_reader(bytes in prop::collection::vec(any::<u8>(), 0..200), at in 0usize..80, cut in 0usize..200) {
        let _ = collectd::read(&bytes, None);
        let _ = collectd::read(&bytes, Some(&user));
        let mut packet = packets("h", "i", &sample(), 1, &Security::None, || [0; 16]).remove(0);
        let end = packet.len().min(at + bytes.len());
        if at < end {
            packet[at..end].copy_from_slice(&bytes[..end - at]);
        }
        packet.truncate(cut);
        let _ = collectd::read(&packet, None);
    }
}
