//! Property tests of the relay's parsers with truncated, split and arbitrary input, from a fixed seed.

use bytes::{Bytes, BytesMut};
use honeyknot_relay::relay::connections::protocol::{
    EndpointLine, LineTracker, MAX_LINE_BYTES, OpenRequest, first_line_end, load_report_value,
};
use honeyknot_relay::relay::endpoints::discovery_client::{parse_endpoint_list, parse_response};
use honeyknot_relay::relay::lifecycle::config::Config;
use honeyknot_relay::settings::NameTable;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A request with every field that the relay reads, and one unknown field.
const OPEN: &str =
    "OPEN 9b1f03aa5c7e2d41 7f3a c=study-session,d=2000,g=5c0f,r=1,again=1,h=3.5,at=s-1,x=y\r\n";
/// A full endpoint list as discovery's JSON.
const ENDPOINT_LIST: &str = r#"{"version":41,"full":true,"servers":[
{"id":"s-1","addr":"127.0.0.1:5000","zone":"a","kind":"m2","cell":3,"state":"active","weight":1.0,"started_ms":2},
{"id":"s-2","addr":"127.0.0.1:5001","state":"leaving"},{"id":"s-3","state":"left"}]}"#;
/// A configuration in which `LIST` stands for [`ENDPOINT_LIST`].
const CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.1:5000","discovery":"127.0.0.1:8500","seed":"8c1f",
"limits":{"sockets":4096},"known":LIST,"settings":{"services":[{"name":"study-session","hardLimitUs":1200000}],
"rules":{"startCapacity":0.3,"coldUs":1,"overloadFactor":3.0}}}"#;

/// Returns two HTTP responses with this body: one with `Content-Length`, one in two chunks.
fn http_responses(body: &str) -> [String; 2] {
    let (first, second) = body.split_at(body.len() / 2);
    [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
            first.len(),
            second.len()
        ),
    ]
}

/// Returns the lines that a tracker finds in the pieces, and whether it ends between two lines.
fn track_lines(pieces: &[&[u8]]) -> (Vec<String>, bool) {
    let mut tracker = LineTracker::default();
    let mut lines = Vec::new();
    for piece in pieces {
        tracker.observe(piece, |line| lines.push(format!("{line:?}")));
    }
    (lines, tracker.between_lines())
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_201),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn a_truncated_request_is_never_parsed(length in 0..OPEN.len()) {
        prop_assert_eq!(first_line_end(&OPEN.as_bytes()[..length]), Ok(None));
        prop_assert!(OpenRequest::parse(Bytes::copy_from_slice(&OPEN.as_bytes()[..length])).is_err());
    }

    #[test]
    fn forwarding_a_request_replaces_only_its_time_remaining(
        milliseconds in 0u64..100_000, extra_fields in "[a-z0-9=,]{0,20}",
    ) {
        let line = OPEN.replace("x=y", &format!("x=y{extra_fields}"));
        if let Ok(request) = OpenRequest::parse(line.clone().into()) {
            let digits = milliseconds.to_string();
            let pieces = request.with_time_remaining_ms(digits.as_bytes());
            let forwarded: Vec<u8> = pieces.iter().flat_map(|piece| piece.to_vec()).collect();
            if extra_fields.is_empty() || !extra_fields.contains("d=") {
                let expected = line.replace("d=2000", &format!("d={milliseconds}"));
                prop_assert_eq!(String::from_utf8(forwarded).unwrap(), expected);
            }
        }
    }

    #[test]
    fn arbitrary_bytes_never_panic_a_parser(
        bytes in proptest::collection::vec(any::<u8>(), 0..200), tail in "[ -~]{0,80}",
    ) {
        let _ = (first_line_end(&bytes), EndpointLine::parse(&bytes), track_lines(&[&bytes]));
        let mut line = format!("OPEN {tail}").into_bytes();
        line.extend(b"\r\n");
        let _ = OpenRequest::parse(line.into());
        let _ = (OpenRequest::parse(bytes.clone().into()), load_report_value(&tail, "util"));
        let _ = parse_response(&mut BytesMut::from(&bytes[..]));
        let mut after_headers = BytesMut::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        after_headers.extend_from_slice(&bytes);
        let _ = parse_response(&mut after_headers);
        let _ = Config::read(&bytes, |_| None);
    }

    #[test]
    fn lines_received_in_pieces_are_parsed_as_in_one_piece(
        cut_positions in proptest::collection::vec(0usize..70, 0..6),
    ) {
        let text = b"UP r1\r\nLOAD 812.5\r\ncard 4 of 9\r\nLOAD x\r\nBYE inflight=7,util=0.61\r\nMO";
        let mut cut_positions: Vec<usize> =
            cut_positions.into_iter().map(|position| position.min(text.len())).collect();
        cut_positions.extend([0, text.len()]);
        cut_positions.sort_unstable();
        let pieces: Vec<&[u8]> = cut_positions.windows(2).map(|range| &text[range[0]..range[1]]).collect();
        prop_assert_eq!(track_lines(&pieces), track_lines(&[text]));
    }

    #[test]
    fn an_http_response_received_in_pieces_is_parsed_once_it_is_complete(
        cut in 0usize..400, encoding in 0usize..2,
    ) {
        let response = &http_responses(ENDPOINT_LIST)[encoding];
        let cut = cut.min(response.len() - 1);
        let mut bytes = BytesMut::from(&response.as_bytes()[..cut]);
        prop_assert_eq!(parse_response(&mut bytes), Ok(None));
        bytes.extend_from_slice(&response.as_bytes()[cut..]);
        let received = parse_response(&mut bytes).unwrap().unwrap();
        prop_assert_eq!((received.status, received.body.as_slice()), (200, ENDPOINT_LIST.as_bytes()));
        prop_assert!(bytes.is_empty());
    }

    #[test]
    fn a_truncated_configuration_is_rejected(length in 0..CONFIG.len()) {
        let text = CONFIG.replace("LIST", ENDPOINT_LIST);
        prop_assert!(Config::read(text.as_bytes(), |_| None).is_ok());
        prop_assert!(Config::read(&text.as_bytes()[..length], |_| None).is_err());
    }

    #[test]
    fn an_endpoint_list_with_an_invalid_value_is_an_error(field in 0usize..7) {
        let (valid, invalid) = [
            ("41", "-1"), ("true", "7"), ("\"s-1\"", "null"), ("127.0.0.1:5000", "nowhere"),
            ("active", "asleep"), ("1.0", "\"big\""), ("[", "{\"a\":["),
        ][field];
        let text = ENDPOINT_LIST.replacen(valid, invalid, 1);
        let rejected = serde_json::from_str(&text)
            .map(|value| parse_endpoint_list(&value, &NameTable::default()).is_err());
        prop_assert!(rejected.unwrap_or(true), "{}", text);
    }
}

#[test]
fn retry_after_is_a_number_of_seconds_and_anything_else_is_ignored() {
    let retry_after = |header: &str| {
        let text = format!("HTTP/1.1 503 Busy\r\n{header}Content-Length: 0\r\n\r\n");
        parse_response(&mut BytesMut::from(&*text)).unwrap().unwrap().retry_after
    };
    assert_eq!(retry_after("retry-after: 3\r\n"), Some(3_000_000));
    assert_eq!(retry_after(&format!("Retry-After: {}\r\n", u64::MAX)), Some(u64::MAX));
    // Neither a date nor a negative number is a number of seconds.
    for header in ["", "Retry-After: Tue, 01 Dec 2026 22:00:00 GMT\r\n", "Retry-After: -1\r\n"] {
        assert_eq!(retry_after(header), None);
    }
}

#[test]
fn an_endpoint_list_is_parsed_into_endpoints_and_addresses() {
    let update =
        parse_endpoint_list(&serde_json::from_str(ENDPOINT_LIST).unwrap(), &NameTable::default()).unwrap();
    assert_eq!(
        (update.version, update.full, update.endpoints.len(), update.addresses.len()),
        (41, true, 3, 2)
    );
    assert_eq!(update.endpoints[0].started_at, 2_000);
}

#[test]
fn an_overlong_line_is_an_error_and_an_incomplete_one_is_not() {
    assert_eq!(first_line_end(&[b'a'; MAX_LINE_BYTES - 1]), Ok(None));
    assert!(first_line_end(&[b'a'; MAX_LINE_BYTES]).is_err());
    assert!(first_line_end(b"OPEN\n").is_err());
}
