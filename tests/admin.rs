//! The admin address on loopback sockets: commands, stats and maintenance of endpoints.

#[path = "support/loopback.rs"]
mod loopback;

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use honeyknot_relay::admin::command::{self, AdminCommand, AdminCommandError};
use honeyknot_relay::relay::lifecycle::config::Config;
use loopback::{
    OPEN, Relay, accept_connection, config, config_text, listen, open_request, receive_line, receive_to_end,
    run_case, send,
};
use proptest::prelude::*;
use serde_json::Value;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Requests the stats until they meet a condition, and returns them.
async fn wait_for_stats(relay: &Relay, condition: impl Fn(&Value) -> bool) -> Value {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let text = relay.admin_command("stats\r\n").await;
        let stats = text.strip_suffix("\r\nEND\r\n").expect("the answer ends with END");
        let stats: Value = serde_json::from_str(stats).expect("valid JSON");
        if condition(&stats) {
            return stats;
        }
        assert!(Instant::now() < deadline, "{stats}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Returns how many connections succeeded, were declined, were aborted, and were forwarded.
fn result_counts(stats: &Value) -> [u64; 4] {
    ["succeeded", "declined", "aborted", "forwards"]
        .map(|name| stats["results"]["study"][name].as_u64().expect("the result has a count"))
}

#[test]
fn stats_count_each_connection_once_by_the_result_its_client_got() {
    run_case(async {
        let (endpoint, address) = listen().await;
        let relay = Relay::start(&[("s-1", address, "active")], 256).await;
        let at_start = wait_for_stats(&relay, |_| true).await;
        assert_eq!((result_counts(&at_start), &at_start["outstanding"]), ([0; 4], &Value::from(0)));
        // Established, and stays open.
        let mut client = relay.client(OPEN).await;
        let (mut upstream, _) = accept_connection(&endpoint).await;
        send(&mut upstream, "UP r-1\r\n").await;
        assert_eq!(receive_line(&mut client).await, "UP r-1\r\n");
        let after_first = wait_for_stats(&relay, |stats| result_counts(stats)[0] == 1).await;
        assert_eq!(
            (result_counts(&after_first), &after_first["outstanding"]),
            ([1, 0, 0, 1], &Value::from(1))
        );
        // Aborted: the id of an established connection, which is not forwarded. A malformed line belongs to
        // no class.
        assert_eq!(receive_to_end(relay.client(OPEN).await).await, "ERR\r\n");
        assert_eq!(receive_to_end(relay.client("NONSENSE\r\n").await).await, "ERR\r\n");
        // Declined: the only endpoint rejects the attempt, so the relay rejects the request.
        let rejected = relay.client(&open_request("9c")).await;
        let (mut rejecting_upstream, _) = accept_connection(&endpoint).await;
        send(&mut rejecting_upstream, "BUSY\r\n").await;
        drop(rejecting_upstream);
        assert!(receive_to_end(rejected).await.starts_with("BUSY"));
        // Aborted: the client disconnects before the endpoint answers.
        let leaving_client = relay.client(&open_request("9d")).await;
        let (_pending_upstream, _) = accept_connection(&endpoint).await;
        drop(leaving_client);
        let after_all =
            wait_for_stats(&relay, |stats| result_counts(stats).iter().take(3).sum::<u64>() == 4).await;
        assert_eq!(result_counts(&after_all), [1, 1, 2, 3]);
        // The established connection ends.
        drop(upstream);
        assert_eq!(receive_to_end(client).await, "");
        let at_end = wait_for_stats(&relay, |stats| stats["outstanding"] == 0).await;
        assert_eq!((result_counts(&at_end), &at_end["discovered"]), ([1, 1, 2, 3], &Value::from(1)));
        // Discovery refuses connections, so the endpoint list is that of the configuration.
        let discovery_stats = &at_end["list"];
        assert_eq!(
            (&discovery_stats["state"], &discovery_stats["answered"]),
            (&Value::from("failing"), &Value::from(false)),
            "{discovery_stats}"
        );
    });
}

#[test]
fn an_endpoint_in_maintenance_gets_no_connections_and_its_clients_are_migrated() {
    run_case(async {
        let (endpoint, address) = listen().await;
        let relay = Relay::start(&[("s-1", address, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let (mut upstream, _) = accept_connection(&endpoint).await;
        send(&mut upstream, "UP r-1\r\n").await;
        assert_eq!(receive_line(&mut client).await, "UP r-1\r\n");
        assert!(relay.admin_command("maint-on nobody\r\n").await.starts_with("NO"));
        assert!(relay.admin_command("maint-off nobody\r\n").await.starts_with("NO"));
        // Maintenance that was started twice is ended by one command.
        assert_eq!(relay.admin_command("maint-on s-1\r\n").await, "YES\r\n");
        assert_eq!(relay.admin_command("maint-on s-1\n").await, "YES\n");
        let in_maintenance = wait_for_stats(&relay, |_| true).await;
        assert_eq!(
            (&in_maintenance["discovered"], &in_maintenance["ejected"]),
            (&Value::from(1), &Value::from(1))
        );
        assert_eq!(receive_to_end(client).await, "MOVE\r\n");
        // Its connection has been migrated and it gets no new one: a new client is rejected.
        let rejection = receive_to_end(relay.client(&open_request("9e")).await).await;
        assert!(rejection.starts_with("BUSY"), "{rejection}");
        assert!(timeout(Duration::from_millis(300), endpoint.accept()).await.is_err());
        assert_eq!(relay.admin_command("maint-off s-1\r\n").await, "YES\r\n");
        assert_eq!(relay.admin_command("maint-off s-1\r\n").await, "YES\r\n");
        assert_eq!(wait_for_stats(&relay, |_| true).await["ejected"], 0);
        // After maintenance the endpoint is in slow start, but is used again. The clients have another
        // session key than the migrated one, and try again when they are rejected.
        let (used_again, deadline) = (Cell::new(false), Instant::now() + Duration::from_secs(5));
        let answer_request = async {
            let (mut upstream, _) = accept_connection(&endpoint).await;
            used_again.set(true);
            send(&mut upstream, "UP r-2\r\n").await;
            upstream
        };
        let clients = async {
            for number in 0.. {
                let mut client =
                    relay.client(&open_request(&format!("a{number}")).replace("7f3a", "7f3b")).await;
                if receive_line(&mut client).await == "UP r-2\r\n" {
                    return;
                }
                assert!(
                    !used_again.get() && Instant::now() < deadline,
                    "the endpoint is not used within 5 s"
                );
                sleep(Duration::from_millis(200)).await;
            }
        };
        let (_upstream, ()) = tokio::join!(answer_request, clients);
    });
}

#[test]
fn an_admin_command_is_answered_within_a_second_beside_many_silent_connections() {
    run_case(async {
        let relay = Relay::start(&[("s-1", listen().await.1, "active")], 256).await;
        let mut silent_callers = Vec::new();
        for number in 0..64 {
            let mut connection = BufReader::new(
                TcpStream::connect(relay.admin).await.expect("the admin address accepts connections"),
            );
            if number % 2 == 0 {
                send(&mut connection, "stat").await;
            }
            silent_callers.push(connection);
        }
        let sent_at = Instant::now();
        assert_eq!(relay.admin_command("status\r\n").await, "YES\r\n");
        assert!(sent_at.elapsed() < Duration::from_secs(1), "{:?}", sent_at.elapsed());
    });
}

#[test]
fn an_invalid_admin_command_is_answered_with_no_and_a_reason() {
    run_case(async {
        let relay = Relay::start(&[("s-1", listen().await.1, "active")], 256).await;
        let too_long = format!("status{}\r\n", " ".repeat(5_000));
        for invalid in
            ["\r\n", "STATUS\r\n", "maint-on\r\n", "status now\r\n", "st\0atus\r\n", "sté\r\n", &too_long]
        {
            let answer = relay.admin_command(invalid).await;
            assert!(answer.starts_with("NO ") && answer.ends_with('\n'), "{invalid:?}: {answer:?}");
        }
        assert_eq!(relay.admin_command("  status \n").await, "YES\n");
    });
}

#[test]
fn status_is_yes_only_while_the_relay_can_serve() {
    run_case(async {
        let relay = Relay::start(&[], 256).await;
        assert_eq!(
            relay.admin_command("status\r\n").await,
            "NO no endpoint list from discovery yet, or an empty one\r\n"
        );
        let relay = Relay::start(&[("s-1", listen().await.1, "active")], 256).await;
        assert_eq!(relay.admin_command("status\r\n").await, "YES\r\n");
        let _ = relay.stop.send(());
        sleep(Duration::from_millis(50)).await;
        let mut connection = BufReader::new(
            TcpStream::connect(relay.admin).await.expect("the admin address accepts connections"),
        );
        send(&mut connection, "status\r\n").await;
        assert_eq!(receive_to_end(connection).await, "NO shutting down\r\n");
    });
}

#[test]
fn the_admin_address_comes_from_variable_or_file_and_must_differ_from_the_client_address() {
    let discovery: SocketAddr = "127.0.0.1:1".parse().expect("a valid address");
    let admin_port = |entry: &str, variable: Option<&str>| {
        let text = config_text(&[], 64, discovery).replacen('{', &format!("{{{entry}"), 1);
        let var = |name: &str| variable.filter(|_| name == "EDGE_ADMIN_ADDR").map(str::to_owned);
        let config = Config::read(text.as_bytes(), var).map_err(|error| error.to_string())?;
        Ok::<_, String>(config.admin.map(|at| at.port()))
    };
    assert_eq!(admin_port("", None), Ok(None));
    assert_eq!(admin_port("\"admin_addr\":null,", None), Ok(None));
    assert_eq!(admin_port("\"admin_addr\":\"127.0.0.1:7\",", None), Ok(Some(7)));
    assert_eq!(admin_port("\"admin_addr\":\"127.0.0.1:7\",", Some("127.0.0.1:8")), Ok(Some(8)));
    for invalid in ["\"admin_addr\":\"there\",", "\"admin_addr\":5000,", "\"admin_addr\":\"127.0.0.1:1\","] {
        let error = admin_port(invalid, None).expect_err("the address is invalid");
        assert!(error.contains("`admin_addr`"), "{error}");
    }
    assert!(config(&[], 64, discovery).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        failure_persistence: None, cases: 256, ..ProptestConfig::default() })]

    /// A command is complete only with the last byte of its line, and is parsed without waiting for more.
    #[test]
    fn an_admin_command_is_parsed_only_once_its_line_is_complete(
        name in 0..4usize, id in "[!-~]{1,40}", spaces in " {0,3}", line_ending in "\r?\n", more in "[ -~]{0,9}",
    ) {
        let (line, expected) = match name {
            0 => ("status".to_owned(), AdminCommand::Status),
            1 => ("stats".to_owned(), AdminCommand::Stats),
            2 => (format!("maint-on {id}"), AdminCommand::MaintOn(id)),
            _ => (format!("maint-off {id}"), AdminCommand::MaintOff(id)),
        };
        let line = format!("{spaces}{line}{spaces}{line_ending}");
        for cut in 0..line.len() {
            prop_assert_eq!(command::parse_buffered(&line.as_bytes()[..cut]), None);
        }
        prop_assert_eq!(command::parse_buffered(format!("{line}{more}").as_bytes()), Some(Ok(expected)));
    }

    /// Arbitrary bytes never parse as a command that changes maintenance, are never buffered beyond the size
    /// limit, and never cause a panic.
    #[test]
    fn arbitrary_bytes_never_change_maintenance_or_wait_beyond_the_size_limit(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
    ) {
        let parsed = command::parse_buffered(&bytes);
        let complete = bytes.len() >= command::MAX_COMMAND_BYTES || bytes.contains(&b'\n');
        prop_assert_eq!(parsed.is_some(), complete);
        prop_assert!(!matches!(parsed, Some(Ok(AdminCommand::MaintOn(_) | AdminCommand::MaintOff(_)))));
    }
}

#[test]
fn each_invalid_admin_command_is_rejected_with_its_error() {
    let cases = [
        (&b"\r\n"[..], AdminCommandError::Empty),
        (b"status x\n", AdminCommandError::ExtraWords),
        (b"maint-on\n", AdminCommandError::MissingId),
        (b"maint-off s-1 s-2\n", AdminCommandError::ExtraWords),
        (b"stat\n", AdminCommandError::UnknownCommand),
        (b"st\xffatus\n", AdminCommandError::NotAscii),
        (&[b' '; command::MAX_COMMAND_BYTES], AdminCommandError::TooLong),
    ];
    for (bytes, error) in cases {
        assert_eq!(command::parse_buffered(bytes), Some(Err(error)), "{bytes:?}");
    }
}
