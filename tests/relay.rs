//! The relay on real sockets of the loopback, with small endpoints in the test.

#[path = "support/loopback.rs"]
mod loopback;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use loopback::{
    OPEN, Relay, accept_connection, accept_request, config, config_text, endpoint_list, establish_connection,
    listen, open_request, read_config, receive_line, receive_to_end, respond, run_case, send,
};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

#[test]
fn a_connection_is_forwarded_to_an_endpoint_and_ends_as_the_endpoint_ends_it() {
    run_case(async {
        let (endpoint, address) = listen().await;
        let relay = Relay::start(&[("s-1", address, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let (mut upstream, first) = accept_connection(&endpoint).await;
        let wait = first.strip_prefix("OPEN 9b1f 7f3a c=study,d=").and_then(|t| t.split_once(','));
        let (wait, after) = wait.expect("the head with another wait");
        assert!(wait.parse::<u64>().is_ok_and(|ms| (1..=25_000).contains(&ms)), "{first}");
        assert_eq!(after, "g=5c0f,x=1\r\n");
        send(&mut upstream, "UP r1\r\nLOAD 81").await;
        assert_eq!(receive_line(&mut client).await, "UP r1\r\n");
        send(&mut client, "answer 1\r\n").await;
        assert_eq!(receive_line(&mut upstream).await, "answer 1\r\n");
        send(&mut upstream, "2.5\r\nBYE\r\n").await;
        drop(upstream);
        assert_eq!(receive_to_end(client).await, "LOAD 812.5\r\nBYE\r\n");
    });
}

#[test]
fn a_reset_by_the_endpoint_reaches_the_client_as_a_reset() {
    run_case(async {
        let (endpoint, address) = listen().await;
        let relay = Relay::start(&[("s-1", address, "active")], 256).await;
        let (mut client, upstream) = establish_connection(&relay, &endpoint).await;
        upstream.get_ref().set_zero_linger().expect("an option");
        drop(upstream);
        assert!(client.read(&mut [0; 8]).await.is_err());
    });
}

#[test]
fn a_ping_is_answered_and_a_malformed_first_line_gets_one_error() {
    run_case(async {
        let relay = Relay::start(&[], 256).await;
        let mut front = relay.client("PING\r\n").await;
        assert_eq!(receive_line(&mut front).await, "PONG\r\n");
        let waits = ["0", "-5", "+5", "", "soon", "99999999999999999999999", "5,d=6"];
        let waits = waits.map(|d| format!("OPEN 1 2 c=study,d={d}\r\n"));
        let bad = [
            "HELLO\r\n",
            "OPEN 1\r\n",
            "OPEN 1 2\r\n",
            "OPEN 1 2 c=other,d=5\r\n",
            "OPEN 1 \u{7} c=study\r\n",
        ];
        let bad = bad.into_iter().chain(["a\n", "PING\r\nPING\r\n"]).chain(waits.iter().map(String::as_str));
        for bad in bad {
            assert_eq!(receive_to_end(relay.client(bad).await).await, "ERR\r\n", "{bad}");
        }
        assert_eq!(receive_to_end(relay.client(&"a".repeat(5_000)).await).await, "ERR\r\n");
        let mut half = relay.client("OPEN 1 2 c=st").await;
        half.shutdown().await.expect("an end");
        assert_eq!(receive_to_end(half).await, "ERR\r\n");
    });
}

/// An endpoint that accepts every connection and counts the requests.
async fn accepting_endpoint(endpoint: TcpListener, heads: Rc<Cell<usize>>) {
    loop {
        let (mut end, _) = accept_connection(&endpoint).await;
        heads.set(heads.get() + 1);
        spawn_local(async move {
            send(&mut end, "UP r1\r\n").await;
            receive_to_end(end).await
        });
    }
}

#[test]
fn silent_idle_connections_do_not_keep_requests_out() {
    run_case(async {
        let (endpoint, address) = listen().await;
        spawn_local(accepting_endpoint(endpoint, Rc::default()));
        let relay = Relay::start(&[("s-1", address, "active")], 128).await;
        let (mut idle_clients, mut served) = (Vec::new(), Vec::new());
        for round in 0..10 {
            for _ in 0..40 {
                idle_clients.push(TcpStream::connect(relay.address).await.expect("a connection"));
            }
            let mut client = relay.client(&open_request(&round.to_string())).await;
            assert_eq!(receive_line(&mut client).await, "UP r1\r\n", "round {round}");
            served.push(client);
        }
    });
}

#[test]
fn an_open_id_or_many_requests_at_once_get_one_error_and_nothing_is_forwarded() {
    run_case(async {
        let ((endpoint, address), heads) = (listen().await, Rc::new(Cell::new(0)));
        spawn_local(accepting_endpoint(endpoint, heads.clone()));
        let relay = Relay::start(&[("s-1", address, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        assert_eq!(receive_line(&mut client).await, "UP r1\r\n");
        let taken = "OPEN 9b1f 8888 c=study,d=26000\r\n";
        assert_eq!(
            receive_to_end(relay.client(taken).await).await,
            "ERR\r\n",
            "the id of an open connection"
        );
        let flood = "OPEN 1 2 c=study,d=26000\r\n".repeat(2_000);
        assert_eq!(receive_to_end(relay.client(&flood).await).await, "ERR\r\n", "many at once");
        assert_eq!(heads.get(), 1);
        send(&mut client, "answer 1\r\n").await;
    });
}

#[test]
fn the_timeout_of_a_first_line_is_not_extended_by_single_bytes() {
    run_case(async {
        let relay = Relay::start(&[], 256).await;
        let (mut drip, mut front) = (relay.client("OPEN").await, relay.client("PING\r\n").await);
        assert_eq!(receive_line(&mut front).await, "PONG\r\n");
        // The timeout is 3 s; half of it again is left for a slow machine.
        let owed = Duration::from_millis(4_500);
        let (end, mut dripping) = drip.get_mut().split();
        let dripped = tokio::time::timeout(owed, async {
            let mut answer = String::new();
            let mut end = BufReader::new(end);
            tokio::select! {
                read = end.read_line(&mut answer) => drop(read.expect("a line")),
                () = async {
                    while dripping.write_all(b" ").await.is_ok() {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                    std::future::pending().await
                } => {}
            }
            answer
        });
        let left = tokio::time::timeout(owed, receive_to_end(front));
        let (dripped, left) = tokio::join!(dripped, left);
        assert_eq!((dripped.as_deref(), left.as_deref()), (Ok("ERR\r\n"), Ok("BUSY\r\n")));
    });
}

#[test]
fn a_request_without_capacity_or_descriptors_is_rejected_with_a_retry_time() {
    run_case(async {
        let (gone, nowhere) = listen().await;
        drop(gone);
        for (endpoints, max_descriptors) in [(vec![("s-1", nowhere, "active")], 256), (vec![], 32)] {
            let relay = Relay::start(&endpoints, max_descriptors).await;
            let answer = receive_to_end(relay.client(OPEN).await).await;
            let ms = answer.strip_prefix("BUSY ").and_then(|ms| ms.trim_end().parse::<u64>().ok());
            assert!(ms.is_some_and(|ms| (300..=600).contains(&ms)), "{answer}");
        }
    });
}

#[test]
fn an_attempt_that_an_endpoint_rejects_is_closed_before_the_retry() {
    run_case(async {
        let ((one, one_at), (two, two_at)) = (listen().await, listen().await);
        let relay = Relay::start(&[("s-1", one_at, "active"), ("s-2", two_at, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let ((mut upstream, _), other) = tokio::select! {
            upstream = accept_connection(&one) => (upstream, &two),
            upstream = accept_connection(&two) => (upstream, &one),
        };
        send(&mut upstream, "BUSY\r\n").await;
        assert_eq!(receive_to_end(upstream).await, "", "the attempt is closed");
        let (mut upstream, _) = accept_connection(other).await;
        send(&mut upstream, "UP r2\r\n").await;
        assert_eq!(receive_line(&mut client).await, "UP r2\r\n");
    });
}

#[test]
fn a_reconnecting_client_reaches_its_endpoint_though_it_is_draining() {
    run_case(async {
        let ((endpoint, address), (_other, other_at)) = (listen().await, listen().await);
        let relay = Relay::start(&[("s-1", address, "leaving"), ("s-2", other_at, "active")], 256).await;
        let first = "OPEN 9b1f 7f3a c=study,d=40000,at=s-1\r\n";
        let mut client = relay.client(first).await;
        let (mut upstream, got) = accept_connection(&endpoint).await;
        assert_eq!(got, first);
        send(&mut upstream, "UP old\r\n").await;
        assert_eq!(receive_line(&mut client).await, "UP old\r\n");
    });
}

#[test]
fn graceful_shutdown_migrates_connections_between_lines_and_rejects_new_requests() {
    run_case(async {
        let (endpoint, address) = listen().await;
        let relay = Relay::start(&[("s-1", address, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let (mut upstream, _) = accept_connection(&endpoint).await;
        send(&mut upstream, "UP r1\r\ncard 1").await;
        assert_eq!(receive_line(&mut client).await, "UP r1\r\n");
        let mut front = relay.client("PING\r\n").await;
        assert_eq!(receive_line(&mut front).await, "PONG\r\n");
        relay.stop.send(()).expect("a relay that runs");
        send(&mut front, "PING\r\n").await;
        assert_eq!(receive_line(&mut front).await, "BUSY\r\n");
        let new_client = BufReader::new(TcpStream::connect(relay.address).await.expect("a connection"));
        let mut new_client = new_client;
        send(&mut new_client, &open_request("9b20")).await;
        assert!(receive_to_end(new_client).await.starts_with("BUSY "));
        send(&mut upstream, " of 9\r\n").await;
        assert_eq!(receive_to_end(client).await, "card 1 of 9\r\nMOVE\r\n");
        assert_eq!(receive_to_end(upstream).await, "");
        relay.ended.await.expect("no panic").expect("an orderly end");
    });
}

#[test]
fn a_connection_whose_endpoint_stops_answering_is_migrated() {
    run_case(async {
        let (endpoint, address) = listen().await;
        let relay = Relay::start(&[("s-1", address, "active")], 256).await;
        let (mut whole, mut half) = (relay.client(OPEN).await, relay.client(&open_request("9b20")).await);
        // Either may connect first; the first line says whose connection it is.
        let mut ends = [accept_connection(&endpoint).await, accept_connection(&endpoint).await];
        ends.sort_by_key(|(_, first)| !first.starts_with("OPEN 9b1f "));
        let [(mut one, _), (mut two, other)] = ends;
        assert!(other.starts_with("OPEN 9b20 "), "{other}");
        for (client, upstream) in [(&mut whole, &mut one), (&mut half, &mut two)] {
            send(upstream, "UP r1\r\n").await;
            assert_eq!(receive_line(client).await, "UP r1\r\n");
            send(client, "answer 1\r\n").await;
        }
        // Neither a load report nor half a line counts as an answer.
        spawn_local(async move {
            send(&mut two, "card 1 o").await;
            while one.write_all(b"LOAD 7\r\n").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        });
        // Half a line is not forwarded, so that `MOVE` can be sent between lines.
        assert_eq!(receive_to_end(half).await, "MOVE\r\n");
        assert!(receive_to_end(whole).await.ends_with("LOAD 7\r\nMOVE\r\n"));
    });
}

/// An endpoint that accepts every connection, answers lines at once, and reports slow messages.
async fn slow_endpoint(endpoint: TcpListener) {
    loop {
        let mut end = BufReader::new(endpoint.accept().await.expect("a connection").0);
        spawn_local(async move {
            let mut text = String::new();
            while end.read_line(&mut text).await.is_ok_and(|n| n > 0) {
                let health_check = text == "STATS\r\n";
                let answer =
                    if health_check { "PONG util=0.2,latency_ms=900,x0=0.2\r\n" } else { "UP r\r\n" };
                send(&mut end, answer).await;
                text.clear();
            }
        });
    }
}

#[test]
fn an_endpoint_that_reports_slow_messages_gets_no_new_connections() {
    run_case(async {
        let (endpoint, address) = listen().await;
        spawn_local(slow_endpoint(endpoint));
        let relay = Relay::start(&[("s-1", address, "active")], 100_000).await;
        let mut established = Vec::new();
        loop {
            let mut client = relay.client(&open_request(&established.len().to_string())).await;
            if receive_line(&mut client).await.starts_with("BUSY") {
                break;
            }
            // A fast answer on the connection does not outweigh the load reports.
            send(&mut client, "answer 1\r\n").await;
            established.push(client);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert!(!established.is_empty());
    });
}

const WATCH: &str = "GET /registry/instances?index=1&wait=";
const WHOLE: &str = "GET /registry/instances HTTP/1.1";

fn leaving(whole: bool, address: SocketAddr) -> String {
    endpoint_list(2, whole, &[("s-1", address, "leaving")])
}

#[test]
fn an_endpoint_that_drains_after_failed_polls_has_its_connections_migrated() {
    run_case(async {
        let ((endpoint, address), (discovery, discovery_at)) = (listen().await, listen().await);
        let relay = Relay::with_discovery(&[("s-1", address, "active")], 256, discovery_at).await;
        let (mut client, _held) = establish_connection(&relay, &endpoint).await;
        drop(accept_request(&discovery, WATCH).await);
        for (status, body) in [("503 Busy", ""), ("200 OK", "[]"), ("200 OK", &leaving(false, address))] {
            respond(accept_request(&discovery, WATCH).await, status, body).await;
        }
        assert_eq!(receive_line(&mut client).await, "MOVE\r\n");
        assert!(receive_to_end(relay.client(&open_request("9b20")).await).await.starts_with("BUSY "));
    });
}

#[test]
fn a_busy_endpoint_with_connections_is_health_checked_without_new_requests() {
    run_case(async {
        let (endpoint, address) = listen().await;
        let relay = Relay::start(&[("s-1", address, "active")], 256).await;
        let (mut client, mut health_check) =
            (relay.client(OPEN).await, endpoint.accept().await.expect("a probe").0);
        let mut stats = [0; 7];
        for asked in 0..4 {
            health_check.read_exact(&mut stats).await.expect("a probe");
            assert_eq!(&stats, b"STATS\r\n");
            health_check.write_all(b"PONG x0=0.65\r\n").await.expect("a write");
            if asked == 0 {
                let (mut upstream, _) = accept_connection(&endpoint).await;
                send(&mut upstream, "UP r1\r\n").await;
                assert_eq!(receive_line(&mut client).await, "UP r1\r\n");
                spawn_local(async move { receive_to_end(upstream).await });
            }
        }
    });
}

#[test]
fn a_reload_polls_the_new_discovery_and_keeps_connections() {
    run_case(async {
        let ((endpoint, address), (old, old_at), (new, new_at)) =
            (listen().await, listen().await, listen().await);
        let relay = Relay::with_discovery(&[("s-1", address, "active")], 256, old_at).await;
        let (mut client, mut upstream) = establish_connection(&relay, &endpoint).await;
        let watch = accept_request(&old, WATCH).await;
        // A half-written file: configuration and watch stay as they are.
        relay.reloads.send(read_config(b"{\"name\":")).expect("a relay that runs");
        for _ in 0..2 {
            relay.reloads.send(config(&[], 256, new_at)).expect("a relay that runs");
        }
        assert_eq!(receive_to_end(watch).await, "", "the call at the old address is dropped");
        // The endpoint list stays, the failed request is repeated, and the new discovery's list applies.
        send(&mut client, "answer 1\r\n").await;
        assert_eq!(receive_line(&mut upstream).await, "answer 1\r\n");
        respond(accept_request(&new, WHOLE).await, "503 Busy", "").await;
        respond(accept_request(&new, WHOLE).await, "200 OK", &leaving(true, address)).await;
        assert_eq!(receive_line(&mut client).await, "MOVE\r\n");
        accept_request(&new, "GET /registry/instances?index=2&wait=").await;
        relay.stop.send(()).expect("a relay that runs");
        relay.reloads.send(config(&[], 256, old_at)).expect("a relay on its way out");
        relay.ended.await.expect("no panic").expect("an orderly end");
    });
}

/// A relay's process, killed at the end of its test.
struct Program(std::process::Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

#[test]
fn sighup_makes_the_program_follow_the_file_rather_than_its_environment() {
    run_case(async {
        let ((old, old_at), (new, new_at)) = (listen().await, listen().await);
        let file = std::env::temp_dir().join(format!("honeyknot-{}.json", std::process::id()));
        std::fs::write(&file, config_text(&[], 256, old_at)).expect("a file");
        let program = std::process::Command::new(env!("CARGO_BIN_EXE_honeyknot-relay"))
            .arg("serve")
            .env("EDGE_CONFIG", &file)
            .env("EDGE_LISTEN", "127.83.5.1:5077")
            .env("EDGE_DISCOVERY", old_at.to_string())
            .spawn();
        let mut program = Program(program.expect("the program"));
        let hang_up = |id: u32| {
            let sent = std::process::Command::new("sh").args(["-c", &format!("kill -HUP {id}")]).status();
            assert!(sent.expect("a shell").success());
        };
        let watch = accept_request(&old, WATCH).await;
        std::fs::write(&file, "{").expect("a file");
        hang_up(program.0.id());
        std::fs::write(&file, config_text(&[], 256, new_at)).expect("a file");
        hang_up(program.0.id());
        assert_eq!(receive_to_end(watch).await, "");
        let _asked = accept_request(&new, WHOLE).await;
        assert!(program.0.try_wait().expect("a child").is_none(), "it runs on");
        std::fs::remove_file(&file).expect("a file");
    });
}
