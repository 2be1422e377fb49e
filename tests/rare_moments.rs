//! Moments at which an event comes between two others that usually follow each other. Each case makes the bad order happen
//! every time, by gates and not by waiting.

#[path = "support/loopback.rs"]
mod loopback;

use std::time::Duration;

use loopback::{Late, OPEN, Relay, answer, call, case, config_value, line, list, listen, rest, say, session};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// Longer than anything here should take, shorter than what the relay does by itself when nothing happens.
const SOON: Duration = Duration::from_secs(5);

/// A configuration without probes, in which connections may come up late.
fn patient(mut config: Value) -> Value {
    let permissions = &mut config["settings"]["permissions"];
    permissions["probing"] = json!(false);
    permissions["connectTimeoutUs"] = json!(4_000_000);
    config
}

/// Where lists are pushed, what the agent has counts as told from the first moment of a process.
#[test]
fn a_pushed_list_is_asked_for_at_once_and_goes_before_what_the_relay_remembers() {
    case(async {
        let ((_server, at), (agent, agent_at)) = (listen().await, listen().await);
        let mut config = config_value(&[("s-1", at, "active")], 256, agent_at);
        config["settings"]["discovery"] = json!("pushed");
        let relay = Relay::of(config).await;
        let first = timeout(SOON, call(&agent, "GET /registry/instances?index=1&wait=125 ")).await;
        answer(first.expect("a call at once"), "200 OK", &list(2, false, &[("s-1", at, "leaving")])).await;
        let next = timeout(SOON, call(&agent, "GET /registry/instances?index=2&wait=125 ")).await;
        // It has heard, and goes on asking although this call is never answered.
        let next = next.expect("the watch goes on");
        let answered = timeout(SOON, rest(relay.client(OPEN).await)).await.expect("an answer");
        assert!(answered.starts_with("BUSY"), "{answered}");
        let again =
            timeout(Duration::from_secs(2), call(&agent, "GET /registry/instances?index=2&wait=125 "));
        again.await.expect("a watch that fell silent is opened anew");
        drop(next);
    });
}

/// An attempt that was placed before the news of a drain, and whose connection comes up after it, is not sent.
#[test]
fn a_connection_that_comes_up_after_the_news_of_a_drain_carries_nothing() {
    case(async {
        let (discovery, discovery_at) = listen().await;
        let mut late = Late::new();
        let mut config = config_value(&[("s-1", late.at, "active")], 256, discovery_at);
        config["settings"]["rules"]["stopSendingWithinUs"] = json!(20_000_000);
        let relay = Relay::of(patient(config)).await;
        let watch = call(&discovery, "GET /registry/instances?index=1&").await;
        let client = relay.client(OPEN).await;
        let at = late.at;
        answer(watch, "200 OK", &list(2, false, &[("s-1", at, "leaving")])).await;
        let _heard = call(&discovery, "GET /registry/instances?index=2&").await;
        late.let_in();
        let got = timeout(SOON, late.next()).await.expect("the dial comes up or is given up");
        assert_eq!(got, "", "nothing new after the news");
        assert!(rest(client).await.starts_with("BUSY"));
    });
}

const RETURNING: &str = "OPEN 9b1f 7f3a c=study,d=40000,at=s-1\r\n";

/// A relay without discovery, and its one card server, whose connections come up late.
async fn with_late_server() -> (Relay, Late) {
    let late = Late::new();
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let relay = Relay::of(patient(config_value(&[("s-1", late.at, "active")], 256, nowhere))).await;
    (relay, late)
}

/// A connection comes up in the same moment in which its client leaves: a newcomer, and a session from before the run.
#[test]
fn a_client_that_left_while_its_connection_came_up_is_not_sent_on() {
    for first in [OPEN, RETURNING] {
        case(async {
            let (relay, mut late) = with_late_server().await;
            let client = relay.client(first).await;
            late.dialled().await;
            // The relay shares this thread: it sees both only when both have happened.
            late.let_in();
            drop(client.into_inner().into_std().expect("a plain socket"));
            std::thread::sleep(Duration::from_millis(1_500));
            let got = timeout(SOON, late.next()).await.expect("the dial comes up");
            assert_eq!(got, "", "nothing for a client that has gone: {first}");
        });
    }
}

/// A returning client that waits for its card server and says more than is kept is answered, and its end is seen.
#[test]
fn a_returning_client_that_floods_is_answered_while_its_card_server_is_unknown() {
    case(async {
        let relay = Relay::start(&[], 256).await;
        let mut client = relay.client("OPEN 9b1f 7f3a c=study,d=40000,at=s-9\r\n").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        client.get_mut().write_all(&[b'a'; 20_000]).await.expect("a write");
        assert_eq!(timeout(SOON, rest(client)).await.expect("an answer at once"), "ERR\r\n");
    });
}

/// An operator takes a card server out while a session from before the run is being dialled there.
#[test]
fn a_returning_session_is_not_sent_to_a_card_server_that_was_taken_out_meanwhile() {
    case(async {
        let (relay, mut late) = with_late_server().await;
        let _client = relay.client(RETURNING).await;
        late.dialled().await;
        assert_eq!(relay.call("maint-on s-1\n").await, "YES\n");
        late.let_in();
        let got = timeout(SOON, late.next()).await.expect("the dial comes up");
        assert_eq!(got, "", "nothing to a card server that is out");
    });
}

/// The second of two attempts comes up when the card servers no longer know the first.
#[test]
fn a_repeat_whose_connection_comes_up_after_the_key_time_is_not_sent() {
    case(async {
        let ((first, first_at), (discovery, discovery_at)) = (listen().await, listen().await);
        let mut late = Late::new();
        let mut config = config_value(&[("s-1", first_at, "active")], 256, discovery_at);
        config["settings"]["services"][0]["effect"] = json!("deduplicated");
        config["settings"]["services"][0]["group"] = json!("all");
        config["settings"]["services"][0]["keyTtlUs"] = json!(700_000);
        let relay = Relay::of(patient(config)).await;
        let watch = call(&discovery, "GET /registry/instances?index=1&").await;
        let client = relay.client(OPEN).await;
        let (held, _) = session(&first).await;
        let both = [("s-1", first_at, "active"), ("s-2", late.at, "active")];
        answer(watch, "200 OK", &list(2, false, &both)).await;
        let _heard = call(&discovery, "GET /registry/instances?index=2&").await;
        // It may have run there; the repeat is placed at once, well within the key time, and comes up after it.
        drop(held);
        late.dialled().await;
        std::thread::sleep(Duration::from_millis(800));
        late.let_in();
        let got = timeout(SOON, late.next()).await.expect("the dial comes up");
        assert_eq!(got, "", "a repeat after the key time");
        let answered = timeout(SOON, rest(client)).await.expect("one final answer");
        assert!(answered.starts_with("BUSY"), "{answered}");
    });
}

/// An answer that is no card server's word for this session serves nobody.
#[test]
fn spoilt_answers_end_the_attempt_and_the_client_gets_one_answer() {
    let endless = "a".repeat(100_000);
    for spoilt in ["UP\r\n", "UP \r\n", "PONG\r\n", "\r\n", "\u{7}\r\n", "UP r1\n", &endless] {
        case(async {
            let (server, at) = listen().await;
            let relay = Relay::start(&[("s-1", at, "active")], 256).await;
            let client = relay.client(OPEN).await;
            let (mut held, _) = session(&server).await;
            let _ = held.get_mut().write_all(spoilt.as_bytes()).await;
            let answer = timeout(SOON, rest(client)).await.expect("one final answer");
            assert!(answer.starts_with("BUSY"), "{spoilt:.20}: {answer}");
        });
    }
}

/// Half a line of a card server is under way when the relay is told to end, and its rest comes too late.
#[test]
fn half_a_line_does_not_keep_a_client_from_its_move() {
    case(async {
        let (server, at) = listen().await;
        let relay = Relay::start(&[("s-1", at, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let (mut held, _) = session(&server).await;
        say(&mut held, "UP r1\r\ncard 1\r\ncard 2 o").await;
        assert_eq!(line(&mut client).await, "UP r1\r\n");
        relay.stop.send(()).expect("a relay that runs");
        assert_eq!(timeout(SOON, rest(client)).await.expect("a move"), "card 1\r\nMOVE\r\n");
        drop(held);
        relay.ended.await.expect("no panic").expect("an orderly end");
    });
}

/// A line longer than any may be passes as it comes: nothing of it is kept for good.
#[test]
fn a_line_that_is_too_long_passes_as_it_comes() {
    case(async {
        let (server, at) = listen().await;
        let relay = Relay::start(&[("s-1", at, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let (mut held, _) = session(&server).await;
        let long = "b".repeat(30_000);
        say(&mut held, &format!("UP r1\r\n{long}")).await;
        assert_eq!(line(&mut client).await, "UP r1\r\n");
        let mut some = vec![0; 20_000];
        timeout(SOON, client.read_exact(&mut some)).await.expect("it passes").expect("bytes");
        say(&mut held, "\r\nBYE\r\n").await;
        drop(held);
        assert_eq!(rest(client).await, format!("{}\r\nBYE\r\n", &long[20_000..]));
    });
}

/// Connections at the door as the relay ends: one that rests after a `PONG`, one in the middle of its first line, one that says
/// nothing. Each has an answer before its end, and a request that arrives in that moment finds one.
#[test]
fn who_stands_at_the_door_of_a_relay_that_ends_has_an_answer() {
    case(async {
        let relay = Relay::start(&[], 256).await;
        let mut rests = relay.client("PING\r\n").await;
        assert_eq!(line(&mut rests).await, "PONG\r\n");
        let (slow, silent) = (relay.client("OPEN 9b20 7f3a c=st").await, relay.client("").await);
        relay.stop.send(()).expect("a relay that runs");
        let ended = timeout(SOON, async { (rest(rests).await, rest(slow).await, rest(silent).await) });
        let ended = ended.await.expect("all have ended");
        assert_eq!(ended, ("BUSY\r\n".into(), "BUSY\r\n".into(), "BUSY\r\n".into()));
        relay.ended.await.expect("no panic").expect("an orderly end");
    });
}

/// A request arrives on a resting connection after the relay has begun to end it: its client reads an answer and an orderly end.
#[test]
fn a_request_that_meets_the_end_of_a_resting_connection_is_not_reset() {
    case(async {
        let relay = Relay::start(&[], 256).await;
        let mut client = relay.client("PING\r\n").await;
        assert_eq!(line(&mut client).await, "PONG\r\n");
        // Ended by itself, as it rests too long; the request is written when the answer has come.
        assert_eq!(timeout(SOON, line(&mut client)).await.expect("an end"), "BUSY\r\n");
        say(&mut client, OPEN).await;
        assert_eq!(rest(client).await, "");
    });
}

/// Idle clients hold all that they can get: discovery, card servers, probes and operators still get their descriptors.
#[test]
fn a_door_full_of_idle_clients_leaves_descriptors_for_everything_else() {
    case(async {
        let ((server, at), (discovery, discovery_at)) = (listen().await, listen().await);
        let relay = Relay::with_discovery(&[("s-1", at, "active")], 96, discovery_at).await;
        let mut idle = Vec::new();
        for _ in 0..400 {
            idle.push(relay.client("PING\r\n").await);
        }
        let watch =
            timeout(SOON, call(&discovery, "GET /registry/instances?index=1&")).await.expect("a call");
        answer(watch, "503 Busy", "").await;
        timeout(SOON, call(&discovery, "GET /registry/instances?index=1&"))
            .await
            .expect("it is called again");
        assert_eq!(timeout(SOON, relay.call("status\n")).await.expect("an answer"), "YES\n");
        let mut client = relay.client(OPEN).await;
        let (mut held, _) = timeout(SOON, session(&server)).await.expect("a session");
        say(&mut held, "UP r1\r\n").await;
        assert_eq!(line(&mut client).await, "UP r1\r\n");
    });
}

/// A relay is ready at once though discovery refuses or says nothing.
#[test]
fn a_relay_is_ready_at_once_though_discovery_is_not() {
    case(async {
        let (_silent, silent_at) = listen().await;
        for discovery in ["127.0.0.1:1".parse().expect("an address"), silent_at] {
            let (_server, at) = listen().await;
            let relay = Relay::with_discovery(&[("s-1", at, "active")], 256, discovery).await;
            let mut front = relay.client("PING\r\n").await;
            let pong = timeout(Duration::from_secs(1), line(&mut front)).await;
            assert_eq!(pong.expect("an answer at once"), "PONG\r\n");
        }
    });
}

/// A watch has fallen silent, and the card servers that it should have told of are gone.
#[test]
fn card_servers_that_refuse_connections_have_a_silent_watch_opened_anew() {
    case(async {
        let (discovery, discovery_at) = listen().await;
        let (one, two) = (listen().await, listen().await);
        let config = config_value(&[("s-1", one.1, "active"), ("s-2", two.1, "active")], 256, discovery_at);
        drop((one, two));
        let relay = Relay::of(patient(config)).await;
        let silent = call(&discovery, "GET /registry/instances?index=1&").await;
        // A watch that is younger than this may still be about to answer.
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        assert!(rest(relay.client(OPEN).await).await.starts_with("BUSY"));
        timeout(SOON, call(&discovery, "GET /registry/instances?index=1&")).await.expect("it is opened anew");
        assert_eq!(rest(silent).await, "", "and the silent one is left");
    });
}
