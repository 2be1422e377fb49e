//! The operators' address on real sockets: calls, figures, card servers out by hand.

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

/// The figures, once they are as wanted.
async fn figures(relay: &Relay, wanted: impl Fn(&Value) -> bool) -> Value {
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let text = relay.admin_command("stats\r\n").await;
        let figures = text.strip_suffix("\r\nEND\r\n").expect("an END");
        let figures: Value = serde_json::from_str(figures).expect("JSON");
        if wanted(&figures) {
            return figures;
        }
        assert!(Instant::now() < until, "{figures}");
        sleep(Duration::from_millis(20)).await;
    }
}

fn counts(figures: &Value) -> [u64; 4] {
    ["succeeded", "declined", "aborted", "forwards"]
        .map(|name| figures["results"]["study"][name].as_u64().expect("a count"))
}

#[test]
fn each_connection_is_counted_once_as_its_client_saw_it() {
    run_case(async {
        let (server, at) = listen().await;
        let relay = Relay::start(&[("s-1", at, "active")], 256).await;
        let start = figures(&relay, |_| true).await;
        assert_eq!((counts(&start), &start["outstanding"]), ([0; 4], &Value::from(0)));
        // Brought up, and stands.
        let mut stands = relay.client(OPEN).await;
        let (mut held, _) = accept_connection(&server).await;
        send(&mut held, "UP r-1\r\n").await;
        assert_eq!(receive_line(&mut stands).await, "UP r-1\r\n");
        let one = figures(&relay, |f| counts(f)[0] == 1).await;
        assert_eq!((counts(&one), &one["outstanding"]), ([1, 0, 0, 1], &Value::from(1)));
        // Failed: the same id again, which is sent nowhere. A line that cannot be read is of no class.
        assert_eq!(receive_to_end(relay.client(OPEN).await).await, "ERR\r\n");
        assert_eq!(receive_to_end(relay.client("NONSENSE\r\n").await).await, "ERR\r\n");
        // Turned away by the card server for good: the relay has tried it and refuses.
        let declined = relay.client(&open_request("9c")).await;
        let (mut turned, _) = accept_connection(&server).await;
        send(&mut turned, "BUSY\r\n").await;
        drop(turned);
        assert!(receive_to_end(declined).await.starts_with("BUSY"));
        // The client leaves first.
        let leaves = relay.client(&open_request("9d")).await;
        let (_waits, _) = accept_connection(&server).await;
        drop(leaves);
        let all = figures(&relay, |f| counts(f).iter().take(3).sum::<u64>() == 4).await;
        assert_eq!(counts(&all), [1, 1, 2, 3]);
        // The one that stood ends.
        drop(held);
        assert_eq!(receive_to_end(stands).await, "");
        let end = figures(&relay, |f| f["outstanding"] == 0).await;
        assert_eq!((counts(&end), &end["discovered"]), ([1, 1, 2, 3], &Value::from(1)));
        // Discovery is down: the list is the one of the configuration.
        let list = &end["list"];
        assert_eq!(
            (&list["state"], &list["answered"]),
            (&Value::from("failing"), &Value::from(false)),
            "{list}"
        );
    });
}

#[test]
fn a_card_server_out_by_hand_gets_nothing_and_its_clients_are_moved() {
    run_case(async {
        let (server, at) = listen().await;
        let relay = Relay::start(&[("s-1", at, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let (mut held, _) = accept_connection(&server).await;
        send(&mut held, "UP r-1\r\n").await;
        assert_eq!(receive_line(&mut client).await, "UP r-1\r\n");
        assert!(relay.admin_command("maint-on nobody\r\n").await.starts_with("NO"));
        assert!(relay.admin_command("maint-off nobody\r\n").await.starts_with("NO"));
        // Two calls out need one back.
        assert_eq!(relay.admin_command("maint-on s-1\r\n").await, "YES\r\n");
        assert_eq!(relay.admin_command("maint-on s-1\n").await, "YES\n");
        let seen = figures(&relay, |_| true).await;
        assert_eq!((&seen["discovered"], &seen["ejected"]), (&Value::from(1), &Value::from(1)));
        assert_eq!(receive_to_end(client).await, "MOVE\r\n");
        // What was under way to it is over, and nothing new comes: the client is refused.
        let refused = receive_to_end(relay.client(&open_request("9e")).await).await;
        assert!(refused.starts_with("BUSY"), "{refused}");
        assert!(timeout(Duration::from_millis(300), server.accept()).await.is_err());
        assert_eq!(relay.admin_command("maint-off s-1\r\n").await, "YES\r\n");
        assert_eq!(relay.admin_command("maint-off s-1\r\n").await, "YES\r\n");
        assert_eq!(figures(&relay, |_| true).await["ejected"], 0);
        // It comes back cold, and is used: other clients than those moved away come again when refused.
        let (back, until) = (Cell::new(false), Instant::now() + Duration::from_secs(5));
        let served = async {
            let (mut held, _) = accept_connection(&server).await;
            back.set(true);
            send(&mut held, "UP r-2\r\n").await;
            held
        };
        let clients = async {
            for number in 0.. {
                let mut client =
                    relay.client(&open_request(&format!("a{number}")).replace("7f3a", "7f3b")).await;
                if receive_line(&mut client).await == "UP r-2\r\n" {
                    return;
                }
                assert!(!back.get() && Instant::now() < until, "not used within 5 s");
                sleep(Duration::from_millis(200)).await;
            }
        };
        let (_held, ()) = tokio::join!(served, clients);
    });
}

#[test]
fn a_call_is_answered_within_a_second_beside_many_that_say_nothing() {
    run_case(async {
        let relay = Relay::start(&[("s-1", listen().await.1, "active")], 256).await;
        let mut silent = Vec::new();
        for round in 0..64 {
            let mut caller = BufReader::new(TcpStream::connect(relay.admin).await.expect("a connection"));
            if round % 2 == 0 {
                send(&mut caller, "stat").await;
            }
            silent.push(caller);
        }
        let asked = Instant::now();
        assert_eq!(relay.admin_command("status\r\n").await, "YES\r\n");
        assert!(asked.elapsed() < Duration::from_secs(1), "{:?}", asked.elapsed());
    });
}

#[test]
fn calls_that_are_none_get_a_reason() {
    run_case(async {
        let relay = Relay::start(&[("s-1", listen().await.1, "active")], 256).await;
        let long = format!("status{}\r\n", " ".repeat(5_000));
        for bad in ["\r\n", "STATUS\r\n", "maint-on\r\n", "status now\r\n", "st\0atus\r\n", "sté\r\n", &long]
        {
            let answer = relay.admin_command(bad).await;
            assert!(answer.starts_with("NO ") && answer.ends_with('\n'), "{bad:?}: {answer:?}");
        }
        assert_eq!(relay.admin_command("  status \n").await, "YES\n");
    });
}

#[test]
fn a_process_says_yes_only_while_it_can_serve() {
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
        let mut caller = BufReader::new(TcpStream::connect(relay.admin).await.expect("a connection"));
        send(&mut caller, "status\r\n").await;
        assert_eq!(receive_to_end(caller).await, "NO shutting down\r\n");
    });
}

#[test]
fn the_address_comes_from_the_variable_or_the_file_and_must_be_its_own() {
    let discovery: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let read = |file: &str, variable: Option<&str>| {
        let text = config_text(&[], 64, discovery).replacen('{', &format!("{{{file}"), 1);
        let var = |name: &str| variable.filter(|_| name == "EDGE_ADMIN_ADDR").map(str::to_owned);
        let config = Config::read(text.as_bytes(), var).map_err(|error| error.to_string())?;
        Ok::<_, String>(config.admin.map(|at| at.port()))
    };
    assert_eq!(read("", None), Ok(None));
    assert_eq!(read("\"admin_addr\":null,", None), Ok(None));
    assert_eq!(read("\"admin_addr\":\"127.0.0.1:7\",", None), Ok(Some(7)));
    assert_eq!(read("\"admin_addr\":\"127.0.0.1:7\",", Some("127.0.0.1:8")), Ok(Some(8)));
    for bad in ["\"admin_addr\":\"there\",", "\"admin_addr\":5000,", "\"admin_addr\":\"127.0.0.1:1\","] {
        let why = read(bad, None).expect_err("no such address");
        assert!(why.contains("`admin_addr`"), "{why}");
    }
    assert!(config(&[], 64, discovery).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        failure_persistence: None, cases: 256, ..ProptestConfig::default() })]

    /// However its bytes are cut, a call is whole only with its last one, and then what it is at once.
    #[test]
    fn a_call_is_the_same_however_it_is_cut(
        name in 0..4usize, id in "[!-~]{1,40}", spaces in " {0,3}", end in "\r?\n", extra in "[ -~]{0,9}",
    ) {
        let (line, wanted) = match name {
            0 => ("status".to_owned(), AdminCommand::Status),
            1 => ("stats".to_owned(), AdminCommand::Stats),
            2 => (format!("maint-on {id}"), AdminCommand::MaintOn(id)),
            _ => (format!("maint-off {id}"), AdminCommand::MaintOff(id)),
        };
        let line = format!("{spaces}{line}{spaces}{end}");
        for cut in 0..line.len() {
            prop_assert_eq!(command::parse_buffered(&line.as_bytes()[..cut]), None);
        }
        prop_assert_eq!(command::parse_buffered(format!("{line}{extra}").as_bytes()), Some(Ok(wanted)));
    }

    /// Garbage is never a call that changes something, never waits beyond the bound, and never ends the relay.
    #[test]
    fn garbage_is_no_call(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let taken = command::parse_buffered(&bytes);
        let whole = bytes.len() >= command::MAX_COMMAND_BYTES || bytes.contains(&b'\n');
        prop_assert_eq!(taken.is_some(), whole);
        prop_assert!(!matches!(taken, Some(Ok(AdminCommand::MaintOn(_) | AdminCommand::MaintOff(_)))));
    }
}

#[test]
fn what_is_wrong_with_a_call_is_told() {
    let told = [
        (&b"\r\n"[..], AdminCommandError::Empty),
        (b"status x\n", AdminCommandError::ExtraWords),
        (b"maint-on\n", AdminCommandError::MissingId),
        (b"maint-off s-1 s-2\n", AdminCommandError::ExtraWords),
        (b"stat\n", AdminCommandError::UnknownCommand),
        (b"st\xffatus\n", AdminCommandError::NotAscii),
        (&[b' '; command::MAX_COMMAND_BYTES], AdminCommandError::TooLong),
    ];
    for (bytes, why) in told {
        assert_eq!(command::parse_buffered(bytes), Some(Err(why)), "{bytes:?}");
    }
}
