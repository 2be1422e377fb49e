//! The relay on real sockets of the loopback, with card servers of a few lines.

#[path = "support/loopback.rs"]
mod loopback;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use loopback::{
    OPEN, Relay, answer, call, case, config, config_text, line, list, listen, open, read_config, rest, say,
    session, standing,
};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

#[test]
fn a_session_is_placed_passed_on_and_ended_as_its_card_server_ends_it() {
    case(async {
        let (server, at) = listen().await;
        let relay = Relay::start(&[("s-1", at, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let (mut held, first) = session(&server).await;
        let wait = first.strip_prefix("OPEN 9b1f 7f3a c=study,d=").and_then(|t| t.split_once(','));
        let (wait, after) = wait.expect("the head with another wait");
        assert!(wait.parse::<u64>().is_ok_and(|ms| (1..=25_000).contains(&ms)), "{first}");
        assert_eq!(after, "g=5c0f,x=1\r\n");
        say(&mut held, "UP r1\r\nLOAD 81").await;
        assert_eq!(line(&mut client).await, "UP r1\r\n");
        say(&mut client, "answer 1\r\n").await;
        assert_eq!(line(&mut held).await, "answer 1\r\n");
        say(&mut held, "2.5\r\nBYE\r\n").await;
        drop(held);
        assert_eq!(rest(client).await, "LOAD 812.5\r\nBYE\r\n");
    });
}

#[test]
fn a_reset_is_passed_on_as_a_reset() {
    case(async {
        let (server, at) = listen().await;
        let relay = Relay::start(&[("s-1", at, "active")], 256).await;
        let (mut client, held) = standing(&relay, &server).await;
        held.get_ref().set_zero_linger().expect("an option");
        drop(held);
        assert!(client.read(&mut [0; 8]).await.is_err());
    });
}

#[test]
fn the_first_line_gets_its_due() {
    case(async {
        let relay = Relay::start(&[], 256).await;
        let mut front = relay.client("PING\r\n").await;
        assert_eq!(line(&mut front).await, "PONG\r\n");
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
            assert_eq!(rest(relay.client(bad).await).await, "ERR\r\n", "{bad}");
        }
        assert_eq!(rest(relay.client(&"a".repeat(5_000)).await).await, "ERR\r\n");
        let mut half = relay.client("OPEN 1 2 c=st").await;
        half.shutdown().await.expect("an end");
        assert_eq!(rest(half).await, "ERR\r\n");
    });
}

/// A card server that takes every session and only ever sees sound heads; it counts them.
async fn card_server(server: TcpListener, heads: Rc<Cell<usize>>) {
    loop {
        let (mut end, _) = session(&server).await;
        heads.set(heads.get() + 1);
        spawn_local(async move {
            say(&mut end, "UP r1\r\n").await;
            rest(end).await
        });
    }
}

#[test]
fn a_crowd_that_says_nothing_keeps_nobody_out() {
    case(async {
        let (server, at) = listen().await;
        spawn_local(card_server(server, Rc::default()));
        let relay = Relay::start(&[("s-1", at, "active")], 128).await;
        let (mut crowd, mut served) = (Vec::new(), Vec::new());
        for round in 0..10 {
            for _ in 0..40 {
                crowd.push(TcpStream::connect(relay.at).await.expect("a connection"));
            }
            let mut client = relay.client(&open(&round.to_string())).await;
            assert_eq!(line(&mut client).await, "UP r1\r\n", "round {round}");
            served.push(client);
        }
    });
}

#[test]
fn who_asks_wrongly_gets_one_error_and_nothing_is_sent_on_for_it() {
    case(async {
        let ((server, at), heads) = (listen().await, Rc::new(Cell::new(0)));
        spawn_local(card_server(server, heads.clone()));
        let relay = Relay::start(&[("s-1", at, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        assert_eq!(line(&mut client).await, "UP r1\r\n");
        let taken = "OPEN 9b1f 8888 c=study,d=26000\r\n";
        assert_eq!(rest(relay.client(taken).await).await, "ERR\r\n", "the id of an open connection");
        let flood = "OPEN 1 2 c=study,d=26000\r\n".repeat(2_000);
        assert_eq!(rest(relay.client(&flood).await).await, "ERR\r\n", "many at once");
        assert_eq!(heads.get(), 1);
        say(&mut client, "answer 1\r\n").await;
    });
}

#[test]
fn the_wait_for_a_first_line_does_not_begin_anew() {
    case(async {
        let relay = Relay::start(&[], 256).await;
        let (mut drip, mut front) = (relay.client("OPEN").await, relay.client("PING\r\n").await);
        assert_eq!(line(&mut front).await, "PONG\r\n");
        // Half of the 3 s that they are owed for a slow machine.
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
        let left = tokio::time::timeout(owed, rest(front));
        let (dripped, left) = tokio::join!(dripped, left);
        assert_eq!((dripped.as_deref(), left.as_deref()), (Ok("ERR\r\n"), Ok("BUSY\r\n")));
    });
}

#[test]
fn a_request_without_room_or_descriptors_is_told_when_to_come_back() {
    case(async {
        let (gone, nowhere) = listen().await;
        drop(gone);
        for (servers, sockets) in [(vec![("s-1", nowhere, "active")], 256), (vec![], 32)] {
            let relay = Relay::start(&servers, sockets).await;
            let answer = rest(relay.client(OPEN).await).await;
            let ms = answer.strip_prefix("BUSY ").and_then(|ms| ms.trim_end().parse::<u64>().ok());
            assert!(ms.is_some_and(|ms| (300..=600).contains(&ms)), "{answer}");
        }
    });
}

#[test]
fn a_card_server_that_turns_away_is_left_before_another_is_tried() {
    case(async {
        let ((one, one_at), (two, two_at)) = (listen().await, listen().await);
        let relay = Relay::start(&[("s-1", one_at, "active"), ("s-2", two_at, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let ((mut held, _), other) = tokio::select! {
            held = session(&one) => (held, &two),
            held = session(&two) => (held, &one),
        };
        say(&mut held, "BUSY\r\n").await;
        assert_eq!(rest(held).await, "", "the attempt is closed");
        let (mut held, _) = session(other).await;
        say(&mut held, "UP r2\r\n").await;
        assert_eq!(line(&mut client).await, "UP r2\r\n");
    });
}

#[test]
fn a_session_from_before_goes_back_to_its_draining_card_server() {
    case(async {
        let ((server, at), (_other, other_at)) = (listen().await, listen().await);
        let relay = Relay::start(&[("s-1", at, "leaving"), ("s-2", other_at, "active")], 256).await;
        let first = "OPEN 9b1f 7f3a c=study,d=40000,at=s-1\r\n";
        let mut client = relay.client(first).await;
        let (mut held, got) = session(&server).await;
        assert_eq!(got, first);
        say(&mut held, "UP old\r\n").await;
        assert_eq!(line(&mut client).await, "UP old\r\n");
    });
}

#[test]
fn a_planned_restart_moves_sessions_between_lines_and_refuses_newcomers() {
    case(async {
        let (server, at) = listen().await;
        let relay = Relay::start(&[("s-1", at, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let (mut held, _) = session(&server).await;
        say(&mut held, "UP r1\r\ncard 1").await;
        assert_eq!(line(&mut client).await, "UP r1\r\n");
        let mut front = relay.client("PING\r\n").await;
        assert_eq!(line(&mut front).await, "PONG\r\n");
        relay.stop.send(()).expect("a relay that runs");
        say(&mut front, "PING\r\n").await;
        assert_eq!(line(&mut front).await, "BUSY\r\n");
        let newcomer = BufReader::new(TcpStream::connect(relay.at).await.expect("a connection"));
        let mut newcomer = newcomer;
        say(&mut newcomer, &open("9b20")).await;
        assert!(rest(newcomer).await.starts_with("BUSY "));
        say(&mut held, " of 9\r\n").await;
        assert_eq!(rest(client).await, "card 1 of 9\r\nMOVE\r\n");
        assert_eq!(rest(held).await, "");
        relay.ended.await.expect("no panic").expect("an orderly end");
    });
}

#[test]
fn a_card_server_that_stops_short_of_an_answer_loses_the_client() {
    case(async {
        let (server, at) = listen().await;
        let relay = Relay::start(&[("s-1", at, "active")], 256).await;
        let (mut whole, mut half) = (relay.client(OPEN).await, relay.client(&open("9b20")).await);
        // Which of the two comes first is the system's to choose; the first line tells whose it is.
        let mut ends = [session(&server).await, session(&server).await];
        ends.sort_by_key(|(_, first)| !first.starts_with("OPEN 9b1f "));
        let [(mut one, _), (mut two, other)] = ends;
        assert!(other.starts_with("OPEN 9b20 "), "{other}");
        for (client, held) in [(&mut whole, &mut one), (&mut half, &mut two)] {
            say(held, "UP r1\r\n").await;
            assert_eq!(line(client).await, "UP r1\r\n");
            say(client, "answer 1\r\n").await;
        }
        // Neither its load nor half a line is an answer.
        spawn_local(async move {
            say(&mut two, "card 1 o").await;
            while one.write_all(b"LOAD 7\r\n").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        });
        // Half a line is not passed on, so that the client can be moved politely.
        assert_eq!(rest(half).await, "MOVE\r\n");
        assert!(rest(whole).await.ends_with("LOAD 7\r\nMOVE\r\n"));
    });
}

/// A card server that takes every session, answers lines at once, and is behind with its messages.
async fn slow_card_server(server: TcpListener) {
    loop {
        let mut end = BufReader::new(server.accept().await.expect("a connection").0);
        spawn_local(async move {
            let mut text = String::new();
            while end.read_line(&mut text).await.is_ok_and(|n| n > 0) {
                let probe = text == "STATS\r\n";
                let answer = if probe { "PONG util=0.2,latency_ms=900,x0=0.2\r\n" } else { "UP r\r\n" };
                say(&mut end, answer).await;
                text.clear();
            }
        });
    }
}

#[test]
fn a_card_server_whose_reports_tell_of_slow_messages_gets_no_newcomers() {
    case(async {
        let (server, at) = listen().await;
        spawn_local(slow_card_server(server));
        let relay = Relay::start(&[("s-1", at, "active")], 100_000).await;
        let mut standing = Vec::new();
        loop {
            let mut client = relay.client(&open(&standing.len().to_string())).await;
            if line(&mut client).await.starts_with("BUSY") {
                break;
            }
            // A line answered at once does not hide what the reports tell.
            say(&mut client, "answer 1\r\n").await;
            standing.push(client);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert!(!standing.is_empty());
    });
}

const WATCH: &str = "GET /registry/instances?index=1&wait=";
const WHOLE: &str = "GET /registry/instances HTTP/1.1";

fn leaving(whole: bool, at: SocketAddr) -> String {
    list(2, whole, &[("s-1", at, "leaving")])
}

#[test]
fn news_of_a_drain_after_failed_calls_moves_the_sessions_there() {
    case(async {
        let ((server, at), (discovery, discovery_at)) = (listen().await, listen().await);
        let relay = Relay::with_discovery(&[("s-1", at, "active")], 256, discovery_at).await;
        let (mut client, _held) = standing(&relay, &server).await;
        drop(call(&discovery, WATCH).await);
        for (status, body) in [("503 Busy", ""), ("200 OK", "[]"), ("200 OK", &leaving(false, at))] {
            answer(call(&discovery, WATCH).await, status, body).await;
        }
        assert_eq!(line(&mut client).await, "MOVE\r\n");
        assert!(rest(relay.client(&open("9b20")).await).await.starts_with("BUSY "));
    });
}

#[test]
fn a_busy_card_server_where_sessions_stand_is_asked_again_without_newcomers() {
    case(async {
        let (server, at) = listen().await;
        let relay = Relay::start(&[("s-1", at, "active")], 256).await;
        let (mut client, mut probe) = (relay.client(OPEN).await, server.accept().await.expect("a probe").0);
        let mut stats = [0; 7];
        for asked in 0..4 {
            probe.read_exact(&mut stats).await.expect("a probe");
            assert_eq!(&stats, b"STATS\r\n");
            probe.write_all(b"PONG x0=0.65\r\n").await.expect("a write");
            if asked == 0 {
                let (mut held, _) = session(&server).await;
                say(&mut held, "UP r1\r\n").await;
                assert_eq!(line(&mut client).await, "UP r1\r\n");
                spawn_local(async move { rest(held).await });
            }
        }
    });
}

#[test]
fn a_reload_asks_the_new_discovery_and_no_session_notices() {
    case(async {
        let ((server, at), (old, old_at), (new, new_at)) = (listen().await, listen().await, listen().await);
        let relay = Relay::with_discovery(&[("s-1", at, "active")], 256, old_at).await;
        let (mut client, mut held) = standing(&relay, &server).await;
        let watch = call(&old, WATCH).await;
        // Half written: the configuration held stays in use, and so does the watch.
        relay.reloads.send(read_config(b"{\"name\":")).expect("a relay that runs");
        for _ in 0..2 {
            relay.reloads.send(config(&[], 256, new_at)).expect("a relay that runs");
        }
        assert_eq!(rest(watch).await, "", "the call at the old address is dropped");
        // The roll held stays, the call that fails is made again, and the new discovery's word counts.
        say(&mut client, "answer 1\r\n").await;
        assert_eq!(line(&mut held).await, "answer 1\r\n");
        answer(call(&new, WHOLE).await, "503 Busy", "").await;
        answer(call(&new, WHOLE).await, "200 OK", &leaving(true, at)).await;
        assert_eq!(line(&mut client).await, "MOVE\r\n");
        call(&new, "GET /registry/instances?index=2&wait=").await;
        relay.stop.send(()).expect("a relay that runs");
        relay.reloads.send(config(&[], 256, old_at)).expect("a relay on its way out");
        relay.ended.await.expect("no panic").expect("an orderly end");
    });
}

/// A started relay, which ends with its test, however that goes.
struct Program(std::process::Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

#[test]
fn sighup_makes_the_program_follow_the_file_rather_than_its_environment() {
    case(async {
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
        let watch = call(&old, WATCH).await;
        std::fs::write(&file, "{").expect("a file");
        hang_up(program.0.id());
        std::fs::write(&file, config_text(&[], 256, new_at)).expect("a file");
        hang_up(program.0.id());
        assert_eq!(rest(watch).await, "");
        let _asked = call(&new, WHOLE).await;
        assert!(program.0.try_wait().expect("a child").is_none(), "it runs on");
        std::fs::remove_file(&file).expect("a file");
    });
}
