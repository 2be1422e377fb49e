//! Race conditions: an event between two others that usually follow each other. Each test forces the order by gates
//! instead of waiting for it.

#[path = "support/loopback.rs"]
mod loopback;

use std::time::Duration;

use loopback::{
    LateListener, OPEN, Relay, accept_connection, accept_request, config_value, endpoint_list, listen,
    receive_line, receive_to_end, respond, run_case, send,
};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// Longer than any step here should take, shorter than the relay's own timeouts.
const SOON: Duration = Duration::from_secs(5);

/// A configuration without health checks, with a connect timeout that late connections meet.
fn patient(mut config: Value) -> Value {
    let permissions = &mut config["settings"]["permissions"];
    permissions["probing"] = json!(false);
    permissions["connectTimeoutUs"] = json!(4_000_000);
    config
}

/// Where lists are pushed, the agent's list is authoritative from the start of the process.
#[test]
fn a_pushed_list_is_watched_at_once_and_replaces_the_cached_one() {
    run_case(async {
        let ((_server, address), (agent, agent_at)) = (listen().await, listen().await);
        let mut config = config_value(&[("s-1", address, "active")], 256, agent_at);
        config["settings"]["discovery"] = json!("pushed");
        let relay = Relay::of(config).await;
        let first = timeout(SOON, accept_request(&agent, "GET /registry/instances?index=1&wait=125 ")).await;
        respond(
            first.expect("a call at once"),
            "200 OK",
            &endpoint_list(2, false, &[("s-1", address, "leaving")]),
        )
        .await;
        let next = timeout(SOON, accept_request(&agent, "GET /registry/instances?index=2&wait=125 ")).await;
        // The list was received, and the watch continues although this request is never answered.
        let next = next.expect("the watch goes on");
        let answered = timeout(SOON, receive_to_end(relay.client(OPEN).await)).await.expect("an answer");
        assert!(answered.starts_with("BUSY"), "{answered}");
        let reopened = timeout(
            Duration::from_secs(2),
            accept_request(&agent, "GET /registry/instances?index=2&wait=125 "),
        );
        reopened.await.expect("a watch that fell silent is opened anew");
        drop(next);
    });
}

/// The attempt starts before the endpoint drains, and its upstream connects afterwards.
#[test]
fn an_upstream_connected_after_its_endpoint_drains_is_sent_nothing() {
    run_case(async {
        let (discovery, discovery_at) = listen().await;
        let mut late = LateListener::new();
        let mut config = config_value(&[("s-1", late.address, "active")], 256, discovery_at);
        config["settings"]["rules"]["stopSendingWithinUs"] = json!(20_000_000);
        let relay = Relay::of(patient(config)).await;
        let watch = accept_request(&discovery, "GET /registry/instances?index=1&").await;
        let client = relay.client(OPEN).await;
        let address = late.address;
        respond(watch, "200 OK", &endpoint_list(2, false, &[("s-1", address, "leaving")])).await;
        let _next_watch = accept_request(&discovery, "GET /registry/instances?index=2&").await;
        late.accept_waiting();
        let got = timeout(SOON, late.next_connection()).await.expect("the dial comes up or is given up");
        assert_eq!(got, "", "nothing new after the news");
        assert!(receive_to_end(client).await.starts_with("BUSY"));
    });
}

const RETURNING: &str = "OPEN 9b1f 7f3a c=study,d=40000,at=s-1\r\n";

/// A relay without discovery, and its one endpoint, which accepts late.
async fn with_late_endpoint() -> (Relay, LateListener) {
    let late = LateListener::new();
    let unreachable = "127.0.0.1:1".parse().expect("an address");
    let relay = Relay::of(patient(config_value(&[("s-1", late.address, "active")], 256, unreachable))).await;
    (relay, late)
}

/// The upstream connects at the moment in which the client leaves: a new client, and a reconnecting one.
#[test]
fn a_request_whose_client_left_while_connecting_is_not_forwarded() {
    for first in [OPEN, RETURNING] {
        run_case(async {
            let (relay, mut late) = with_late_endpoint().await;
            let client = relay.client(first).await;
            late.wait_for_dial().await;
            // The relay runs on this thread, so it sees both events only after both have happened.
            late.accept_waiting();
            drop(client.into_inner().into_std().expect("a plain socket"));
            std::thread::sleep(Duration::from_millis(1_500));
            let got = timeout(SOON, late.next_connection()).await.expect("the dial comes up");
            assert_eq!(got, "", "nothing for a client that has gone: {first}");
        });
    }
}

/// The client waits for its endpoint and sends more than is buffered.
#[test]
fn a_reconnecting_client_that_floods_is_answered_while_its_endpoint_is_unknown() {
    run_case(async {
        let relay = Relay::start(&[], 256).await;
        let mut client = relay.client("OPEN 9b1f 7f3a c=study,d=40000,at=s-9\r\n").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        client.get_mut().write_all(&[b'a'; 20_000]).await.expect("a write");
        assert_eq!(timeout(SOON, receive_to_end(client)).await.expect("an answer at once"), "ERR\r\n");
    });
}

/// An operator starts the endpoint's maintenance while a reconnecting client's upstream connects.
#[test]
fn a_reconnecting_client_is_not_forwarded_to_an_endpoint_in_maintenance_since() {
    run_case(async {
        let (relay, mut late) = with_late_endpoint().await;
        let _client = relay.client(RETURNING).await;
        late.wait_for_dial().await;
        assert_eq!(relay.admin_command("maint-on s-1\n").await, "YES\n");
        late.accept_waiting();
        let got = timeout(SOON, late.next_connection()).await.expect("the dial comes up");
        assert_eq!(got, "", "nothing to a card server that is out");
    });
}

/// The second attempt connects when the endpoints no longer know the first one's key.
#[test]
fn a_retry_connected_after_the_idempotency_key_expires_is_not_sent() {
    run_case(async {
        let ((first, first_at), (discovery, discovery_at)) = (listen().await, listen().await);
        let mut late = LateListener::new();
        let mut config = config_value(&[("s-1", first_at, "active")], 256, discovery_at);
        config["settings"]["services"][0]["effect"] = json!("deduplicated");
        config["settings"]["services"][0]["group"] = json!("all");
        config["settings"]["services"][0]["keyTtlUs"] = json!(700_000);
        let relay = Relay::of(patient(config)).await;
        let watch = accept_request(&discovery, "GET /registry/instances?index=1&").await;
        let client = relay.client(OPEN).await;
        let (upstream, _) = accept_connection(&first).await;
        let both = [("s-1", first_at, "active"), ("s-2", late.address, "active")];
        respond(watch, "200 OK", &endpoint_list(2, false, &both)).await;
        let _next_watch = accept_request(&discovery, "GET /registry/instances?index=2&").await;
        // The request may have run; the retry starts at once, before the key expires, and connects after that.
        drop(upstream);
        late.wait_for_dial().await;
        std::thread::sleep(Duration::from_millis(800));
        late.accept_waiting();
        let got = timeout(SOON, late.next_connection()).await.expect("the dial comes up");
        assert_eq!(got, "", "a repeat after the key time");
        let answered = timeout(SOON, receive_to_end(client)).await.expect("one final answer");
        assert!(answered.starts_with("BUSY"), "{answered}");
    });
}

/// Answers that the line protocol does not allow here.
#[test]
fn a_malformed_answer_of_an_endpoint_ends_the_attempt_and_the_client_gets_one_answer() {
    let endless = "a".repeat(100_000);
    for malformed in ["UP\r\n", "UP \r\n", "PONG\r\n", "\r\n", "\u{7}\r\n", "UP r1\n", &endless] {
        run_case(async {
            let (endpoint, address) = listen().await;
            let relay = Relay::start(&[("s-1", address, "active")], 256).await;
            let client = relay.client(OPEN).await;
            let (mut upstream, _) = accept_connection(&endpoint).await;
            let _ = upstream.get_mut().write_all(malformed.as_bytes()).await;
            let answer = timeout(SOON, receive_to_end(client)).await.expect("one final answer");
            assert!(answer.starts_with("BUSY"), "{malformed:.20}: {answer}");
        });
    }
}

/// The endpoint has sent half a line when the relay shuts down, and the rest arrives too late.
#[test]
fn half_a_line_does_not_keep_a_client_from_migrating() {
    run_case(async {
        let (endpoint, address) = listen().await;
        let relay = Relay::start(&[("s-1", address, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let (mut upstream, _) = accept_connection(&endpoint).await;
        send(&mut upstream, "UP r1\r\ncard 1\r\ncard 2 o").await;
        assert_eq!(receive_line(&mut client).await, "UP r1\r\n");
        relay.stop.send(()).expect("a relay that runs");
        assert_eq!(timeout(SOON, receive_to_end(client)).await.expect("a move"), "card 1\r\nMOVE\r\n");
        drop(upstream);
        relay.ended.await.expect("no panic").expect("an orderly end");
    });
}

/// A line beyond the limit is forwarded without being buffered.
#[test]
fn a_line_that_is_too_long_is_forwarded_as_it_arrives() {
    run_case(async {
        let (endpoint, address) = listen().await;
        let relay = Relay::start(&[("s-1", address, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let (mut upstream, _) = accept_connection(&endpoint).await;
        let long = "b".repeat(30_000);
        send(&mut upstream, &format!("UP r1\r\n{long}")).await;
        assert_eq!(receive_line(&mut client).await, "UP r1\r\n");
        let mut some = vec![0; 20_000];
        timeout(SOON, client.read_exact(&mut some)).await.expect("it passes").expect("bytes");
        send(&mut upstream, "\r\nBYE\r\n").await;
        drop(upstream);
        assert_eq!(receive_to_end(client).await, format!("{}\r\nBYE\r\n", &long[20_000..]));
    });
}

/// One connection is idle after a `PONG`, one is in the middle of its first line, one has sent nothing. Each is answered
/// before it is closed.
#[test]
fn idle_connections_are_answered_when_the_relay_shuts_down() {
    run_case(async {
        let relay = Relay::start(&[], 256).await;
        let mut idle = relay.client("PING\r\n").await;
        assert_eq!(receive_line(&mut idle).await, "PONG\r\n");
        let (slow, silent) = (relay.client("OPEN 9b20 7f3a c=st").await, relay.client("").await);
        relay.stop.send(()).expect("a relay that runs");
        let ended = timeout(SOON, async {
            (receive_to_end(idle).await, receive_to_end(slow).await, receive_to_end(silent).await)
        });
        let ended = ended.await.expect("all have ended");
        assert_eq!(ended, ("BUSY\r\n".into(), "BUSY\r\n".into(), "BUSY\r\n".into()));
        relay.ended.await.expect("no panic").expect("an orderly end");
    });
}

/// A request arrives after the relay has begun to close the idle connection: its client reads an answer and the end.
#[test]
fn a_request_on_an_idle_connection_being_closed_is_not_reset() {
    run_case(async {
        let relay = Relay::start(&[], 256).await;
        let mut client = relay.client("PING\r\n").await;
        assert_eq!(receive_line(&mut client).await, "PONG\r\n");
        // The relay closes it by its idle timeout; the request is written after that answer.
        assert_eq!(timeout(SOON, receive_line(&mut client)).await.expect("an end"), "BUSY\r\n");
        send(&mut client, OPEN).await;
        assert_eq!(receive_to_end(client).await, "");
    });
}

/// Discovery, endpoints, health checks and operators still get descriptors while idle clients take all they can.
#[test]
fn idle_connections_leave_descriptors_for_everything_else() {
    run_case(async {
        let ((endpoint, address), (discovery, discovery_at)) = (listen().await, listen().await);
        let relay = Relay::with_discovery(&[("s-1", address, "active")], 96, discovery_at).await;
        let mut idle = Vec::new();
        for _ in 0..400 {
            idle.push(relay.client("PING\r\n").await);
        }
        let watch = timeout(SOON, accept_request(&discovery, "GET /registry/instances?index=1&"))
            .await
            .expect("a call");
        respond(watch, "503 Busy", "").await;
        timeout(SOON, accept_request(&discovery, "GET /registry/instances?index=1&"))
            .await
            .expect("it is called again");
        assert_eq!(timeout(SOON, relay.admin_command("status\n")).await.expect("an answer"), "YES\n");
        let mut client = relay.client(OPEN).await;
        let (mut upstream, _) = timeout(SOON, accept_connection(&endpoint)).await.expect("a session");
        send(&mut upstream, "UP r1\r\n").await;
        assert_eq!(receive_line(&mut client).await, "UP r1\r\n");
    });
}

/// Discovery refuses connections, or does not answer.
#[test]
fn a_relay_is_ready_at_once_while_discovery_is_down() {
    run_case(async {
        let (_silent, silent_at) = listen().await;
        for discovery in ["127.0.0.1:1".parse().expect("an address"), silent_at] {
            let (_server, address) = listen().await;
            let relay = Relay::with_discovery(&[("s-1", address, "active")], 256, discovery).await;
            let mut front = relay.client("PING\r\n").await;
            let pong = timeout(Duration::from_secs(1), receive_line(&mut front)).await;
            assert_eq!(pong.expect("an answer at once"), "PONG\r\n");
        }
    });
}

/// The watch is silent, and the endpoints that it should have reported as removed are gone.
#[test]
fn a_silent_watch_is_reopened_when_endpoints_refuse_connections() {
    run_case(async {
        let (discovery, discovery_at) = listen().await;
        let (one, two) = (listen().await, listen().await);
        let config = config_value(&[("s-1", one.1, "active"), ("s-2", two.1, "active")], 256, discovery_at);
        drop((one, two));
        let relay = Relay::of(patient(config)).await;
        let silent = accept_request(&discovery, "GET /registry/instances?index=1&").await;
        // A younger watch may still be about to answer.
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        assert!(receive_to_end(relay.client(OPEN).await).await.starts_with("BUSY"));
        timeout(SOON, accept_request(&discovery, "GET /registry/instances?index=1&"))
            .await
            .expect("it is opened anew");
        assert_eq!(receive_to_end(silent).await, "", "and the silent one is left");
    });
}
