//! Random cuts of valid messages and random garbage against every parser of the relay, from fixed seeds.

use bytes::{Bytes, BytesMut};
use honeyknot_relay::relay::connections::protocol::{
    EndpointLine, LineTracker, MAX_LINE_BYTES, OpenRequest, first_line_end, load_report_value,
};
use honeyknot_relay::relay::endpoints::discovery_client::{parse_endpoint_list, take_response};
use honeyknot_relay::relay::lifecycle::config::Config;
use honeyknot_relay::settings::NameTable;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OPEN: &str =
    "OPEN 9b1f03aa5c7e2d41 7f3a c=study-session,d=2000,g=5c0f,r=1,again=1,h=3.5,at=s-1,x=y\r\n";
const ENDPOINT_LIST: &str = r#"{"version":41,"full":true,"servers":[
{"id":"s-1","addr":"127.0.0.1:5000","zone":"a","kind":"m2","cell":3,"state":"active","weight":1.0,"started_ms":2},
{"id":"s-2","addr":"127.0.0.1:5001","state":"leaving"},{"id":"s-3","state":"left"}]}"#;
const CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.1:5000","discovery":"127.0.0.1:8500","seed":"8c1f",
"limits":{"sockets":4096},"known":ROLL,"settings":{"services":[{"name":"study-session","hardLimitUs":1200000}],
"rules":{"startCapacity":0.3,"coldUs":1,"overloadFactor":3.0}}}"#;

fn responses(body: &str) -> [String; 2] {
    let (one, two) = body.split_at(body.len() / 2);
    [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\n\r\n",
            one.len(),
            two.len()
        ),
    ]
}

fn words(pieces: &[&[u8]]) -> (Vec<String>, bool) {
    let (mut watch, mut seen) = (LineTracker::default(), Vec::new());
    for piece in pieces {
        watch.observe(piece, |word| seen.push(format!("{word:?}")));
    }
    (seen, watch.between_lines())
}

fn settings() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_201),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn a_head_cut_anywhere_is_never_taken_for_a_whole_one(at in 0..OPEN.len()) {
        prop_assert_eq!(first_line_end(&OPEN.as_bytes()[..at]), Ok(None));
        prop_assert!(OpenRequest::parse(Bytes::copy_from_slice(&OPEN.as_bytes()[..at])).is_err());
    }

    #[test]
    fn another_wait_changes_nothing_else_of_a_head(wait in 0u64..100_000, more in "[a-z0-9=,]{0,20}") {
        let line = OPEN.replace("x=y", &format!("x=y{more}"));
        if let Ok(head) = OpenRequest::parse(line.clone().into()) {
            let digits = wait.to_string();
            let again: Vec<u8> =
                head.with_time_remaining_ms(digits.as_bytes()).iter().flat_map(|p| p.to_vec()).collect();
            if more.is_empty() || !more.contains("d=") {
                prop_assert_eq!(String::from_utf8(again).unwrap(), line.replace("d=2000", &format!("d={wait}")));
            }
        }
    }

    #[test]
    fn garbage_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..200), tail in "[ -~]{0,80}") {
        let _ = (first_line_end(&bytes), EndpointLine::parse(&bytes), words(&[&bytes]));
        let mut line = format!("OPEN {tail}").into_bytes();
        line.extend(b"\r\n");
        let _ = OpenRequest::parse(line.into());
        let _ = (OpenRequest::parse(bytes.clone().into()), load_report_value(&tail, "util"));
        let _ = take_response(&mut BytesMut::from(&bytes[..]));
        let mut after_head = BytesMut::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        after_head.extend_from_slice(&bytes);
        let _ = take_response(&mut after_head);
        let _ = Config::read(&bytes, |_| None);
    }

    #[test]
    fn lines_in_pieces_read_as_in_one(cuts in proptest::collection::vec(0usize..70, 0..6)) {
        let text = b"UP r1\r\nLOAD 812.5\r\ncard 4 of 9\r\nLOAD x\r\nBYE inflight=7,util=0.61\r\nMO";
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c.min(text.len())).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|w| &text[w[0]..w[1]]).collect();
        prop_assert_eq!(words(&pieces), words(&[text]));
    }

    #[test]
    fn response_in_pieces_is_taken_once_complete(cut in 0usize..400, form in 0usize..2) {
        let whole = &responses(ENDPOINT_LIST)[form];
        let cut = cut.min(whole.len() - 1);
        let mut bytes = BytesMut::from(&whole.as_bytes()[..cut]);
        prop_assert_eq!(take_response(&mut bytes), Ok(None));
        bytes.extend_from_slice(&whole.as_bytes()[cut..]);
        let response = take_response(&mut bytes).unwrap().unwrap();
        prop_assert_eq!((response.status, response.body.as_slice()), (200, ENDPOINT_LIST.as_bytes()));
        prop_assert!(bytes.is_empty());
    }

    #[test]
    fn a_configuration_cut_anywhere_is_refused(at in 0..CONFIG.len()) {
        let text = CONFIG.replace("ROLL", ENDPOINT_LIST);
        prop_assert!(Config::read(text.as_bytes(), |_| None).is_ok());
        prop_assert!(Config::read(&text.as_bytes()[..at], |_| None).is_err());
    }

    #[test]
    fn endpoint_list_with_an_invalid_value_is_rejected(field in 0usize..7) {
        let wrong = [
            ("41", "-1"), ("true", "7"), ("\"s-1\"", "null"), ("127.0.0.1:5000", "nowhere"),
            ("active", "asleep"), ("1.0", "\"big\""), ("[", "{\"a\":["),
        ][field];
        let text = ENDPOINT_LIST.replacen(wrong.0, wrong.1, 1);
        let read = serde_json::from_str(&text).map(|value| parse_endpoint_list(&value, &NameTable::default()).is_err());
        prop_assert!(read.unwrap_or(true), "{}", text);
    }
}

#[test]
fn retry_after_is_read_in_seconds() {
    let retry_after = |header: &str| {
        let text = format!("HTTP/1.1 503 Busy\r\n{header}Content-Length: 0\r\n\r\n");
        take_response(&mut BytesMut::from(&*text)).unwrap().unwrap().retry_after
    };
    assert_eq!(retry_after("retry-after: 3\r\n"), Some(3_000_000));
    assert_eq!(retry_after(&format!("Retry-After: {}\r\n", u64::MAX)), Some(u64::MAX));
    // Dates and invalid values are ignored.
    for header in ["", "Retry-After: Tue, 01 Dec 2026 22:00:00 GMT\r\n", "Retry-After: -1\r\n"] {
        assert_eq!(retry_after(header), None);
    }
}

#[test]
fn endpoint_list_is_parsed() {
    let list =
        parse_endpoint_list(&serde_json::from_str(ENDPOINT_LIST).unwrap(), &NameTable::default()).unwrap();
    assert_eq!((list.version, list.full, list.endpoints.len(), list.addresses.len()), (41, true, 3, 2));
    assert_eq!(list.endpoints[0].started_at, 2_000);
}

#[test]
fn a_line_too_long_is_told_from_one_not_whole() {
    assert_eq!(first_line_end(&[b'a'; MAX_LINE_BYTES - 1]), Ok(None));
    assert!(first_line_end(&[b'a'; MAX_LINE_BYTES]).is_err());
    assert!(first_line_end(b"OPEN\n").is_err());
}
