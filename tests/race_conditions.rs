//! Race conditions: an event occurs between two others that usually follow each other. Each test forces the
//! order of the events instead of waiting for it to occur by chance.

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

/// Longer than any step of a test should take, shorter than the deadline of every request, at least 26 s.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

/// Changes a configuration so that late connections succeed: no health checks, and a long connect timeout.
fn with_late_connects(mut config: Value) -> Value {
    let permissions = &mut config["settings"]["permissions"];
    permissions["probing"] = json!(false);
    permissions["connectTimeoutUs"] = json!(4_000_000);
    config
}

/// With pushed discovery, the local agent's list is authoritative from the start of the process.
#[test]
fn with_pushed_discovery_the_watch_starts_at_once_and_its_list_replaces_the_cached_one() {
    run_case(async {
        let ((_server, address), (agent, agent_address)) = (listen().await, listen().await);
        let mut config = config_value(&[("s-1", address, "active")], 256, agent_address);
        config["settings"]["discovery"] = json!("pushed");
        let relay = Relay::with_config(config).await;
        let first_watch =
            timeout(STEP_TIMEOUT, accept_request(&agent, "GET /registry/instances?index=1&wait=125 ")).await;
        respond(
            first_watch.expect("a watch starts at once"),
            "200 OK",
            &endpoint_list(2, false, &[("s-1", address, "leaving")]),
        )
        .await;
        let next_watch =
            timeout(STEP_TIMEOUT, accept_request(&agent, "GET /registry/instances?index=2&wait=125 ")).await;
        // The relay has received the list. It continues to watch; this request is never answered.
        let next_watch = next_watch.expect("the watch continues");
        let answer = timeout(STEP_TIMEOUT, receive_to_end(relay.client(OPEN).await))
            .await
            .expect("the client gets an answer");
        assert!(answer.starts_with("BUSY"), "{answer}");
        let reopened_watch = timeout(
            Duration::from_secs(2),
            accept_request(&agent, "GET /registry/instances?index=2&wait=125 "),
        );
        reopened_watch.await.expect("an unanswered watch is reopened");
        drop(next_watch);
    });
}

/// The attempt starts before the endpoint begins to drain, and its upstream connects afterwards.
#[test]
fn an_upstream_that_connects_after_its_endpoint_began_to_drain_is_sent_nothing() {
    run_case(async {
        let (discovery, discovery_address) = listen().await;
        let mut late = LateListener::new();
        let mut config = config_value(&[("s-1", late.address, "active")], 256, discovery_address);
        config["settings"]["rules"]["stopSendingWithinUs"] = json!(20_000_000);
        let relay = Relay::with_config(with_late_connects(config)).await;
        let watch = accept_request(&discovery, "GET /registry/instances?index=1&").await;
        let client = relay.client(OPEN).await;
        let address = late.address;
        respond(watch, "200 OK", &endpoint_list(2, false, &[("s-1", address, "leaving")])).await;
        let _next_watch = accept_request(&discovery, "GET /registry/instances?index=2&").await;
        late.accept_pending();
        let received = timeout(STEP_TIMEOUT, late.next_connection())
            .await
            .expect("the attempt connects or is cancelled");
        assert_eq!(received, "", "bytes were sent to a draining endpoint");
        assert!(receive_to_end(client).await.starts_with("BUSY"));
    });
}

/// A reconnecting client's request; `at` names its endpoint.
const RECONNECT_REQUEST: &str = "OPEN 9b1f 7f3a c=study,d=40000,at=s-1\r\n";

/// Starts a relay whose discovery refuses connections, with one endpoint that accepts connections late.
async fn start_relay_with_late_endpoint() -> (Relay, LateListener) {
    let late = LateListener::new();
    let unreachable = "127.0.0.1:1".parse().expect("a valid address");
    let relay = Relay::with_config(with_late_connects(config_value(
        &[("s-1", late.address, "active")],
        256,
        unreachable,
    )))
    .await;
    (relay, late)
}

/// The upstream connects at the moment at which the client disconnects. Tests a new and a reconnecting
/// client.
#[test]
fn a_request_is_not_forwarded_if_its_client_disconnects_while_the_upstream_connects() {
    for request in [OPEN, RECONNECT_REQUEST] {
        run_case(async {
            let (relay, mut late) = start_relay_with_late_endpoint().await;
            let client = relay.client(request).await;
            late.wait_for_connection_attempt().await;
            // The relay runs on this thread, so it sees both events only after both have happened.
            late.accept_pending();
            drop(client.into_inner().into_std().expect("the socket is converted"));
            std::thread::sleep(Duration::from_millis(1_500));
            let received = timeout(STEP_TIMEOUT, late.next_connection()).await.expect("the attempt connects");
            assert_eq!(received, "", "bytes were sent although the client had disconnected: {request}");
        });
    }
}

/// A client that waits for its endpoint sends more than the relay buffers.
#[test]
fn a_reconnecting_client_that_exceeds_the_buffer_while_its_endpoint_is_unknown_gets_an_error() {
    run_case(async {
        let relay = Relay::start(&[], 256).await;
        let mut client = relay.client("OPEN 9b1f 7f3a c=study,d=40000,at=s-9\r\n").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        client.get_mut().write_all(&[b'a'; 20_000]).await.expect("the bytes are sent");
        assert_eq!(
            timeout(STEP_TIMEOUT, receive_to_end(client)).await.expect("an immediate answer"),
            "ERR\r\n"
        );
    });
}

/// An operator starts the endpoint's maintenance while a reconnecting client's upstream connects.
#[test]
fn a_reconnecting_client_is_not_forwarded_to_an_endpoint_whose_maintenance_has_started() {
    run_case(async {
        let (relay, mut late) = start_relay_with_late_endpoint().await;
        let _client = relay.client(RECONNECT_REQUEST).await;
        late.wait_for_connection_attempt().await;
        assert_eq!(relay.admin_command("maint-on s-1\n").await, "YES\n");
        late.accept_pending();
        let received = timeout(STEP_TIMEOUT, late.next_connection()).await.expect("the attempt connects");
        assert_eq!(received, "", "bytes were sent to an endpoint in maintenance");
    });
}

/// The second attempt connects after the endpoints have forgotten the idempotency key of the first.
#[test]
fn a_retry_that_connects_after_the_idempotency_key_expired_is_not_sent() {
    run_case(async {
        let ((first, first_address), (discovery, discovery_address)) = (listen().await, listen().await);
        let mut late = LateListener::new();
        let mut config = config_value(&[("s-1", first_address, "active")], 256, discovery_address);
        config["settings"]["services"][0]["effect"] = json!("deduplicated");
        config["settings"]["services"][0]["group"] = json!("all");
        config["settings"]["services"][0]["keyTtlUs"] = json!(700_000);
        let relay = Relay::with_config(with_late_connects(config)).await;
        let watch = accept_request(&discovery, "GET /registry/instances?index=1&").await;
        let client = relay.client(OPEN).await;
        let (upstream, _) = accept_connection(&first).await;
        let both_endpoints = [("s-1", first_address, "active"), ("s-2", late.address, "active")];
        respond(watch, "200 OK", &endpoint_list(2, false, &both_endpoints)).await;
        let _next_watch = accept_request(&discovery, "GET /registry/instances?index=2&").await;
        // The request may have been executed. The retry starts at once, before the key expires, and connects
        // after that.
        drop(upstream);
        late.wait_for_connection_attempt().await;
        std::thread::sleep(Duration::from_millis(800));
        late.accept_pending();
        let received = timeout(STEP_TIMEOUT, late.next_connection()).await.expect("the attempt connects");
        assert_eq!(received, "", "a retry was sent after its idempotency key had expired");
        let answer =
            timeout(STEP_TIMEOUT, receive_to_end(client)).await.expect("the client gets a final answer");
        assert!(answer.starts_with("BUSY"), "{answer}");
    });
}

/// The endpoint answers a request with a line that the protocol does not allow there.
#[test]
fn a_malformed_answer_of_an_endpoint_ends_the_attempt_and_its_client_gets_one_rejection() {
    let endless = "a".repeat(100_000);
    for malformed in ["UP\r\n", "UP \r\n", "PONG\r\n", "\r\n", "\u{7}\r\n", "UP r1\n", &endless] {
        run_case(async {
            let (endpoint, address) = listen().await;
            let relay = Relay::start(&[("s-1", address, "active")], 256).await;
            let client = relay.client(OPEN).await;
            let (mut upstream, _) = accept_connection(&endpoint).await;
            let _ = upstream.get_mut().write_all(malformed.as_bytes()).await;
            let answer =
                timeout(STEP_TIMEOUT, receive_to_end(client)).await.expect("the client gets a final answer");
            assert!(answer.starts_with("BUSY"), "{malformed:.20}: {answer}");
        });
    }
}

/// The endpoint has sent an incomplete line when the relay shuts down, and the rest does not arrive in time.
#[test]
fn an_incomplete_line_does_not_delay_migration_on_shutdown() {
    run_case(async {
        let (endpoint, address) = listen().await;
        let relay = Relay::start(&[("s-1", address, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let (mut upstream, _) = accept_connection(&endpoint).await;
        send(&mut upstream, "UP r1\r\ncard 1\r\ncard 2 o").await;
        assert_eq!(receive_line(&mut client).await, "UP r1\r\n");
        relay.stop.send(()).expect("the relay runs");
        assert_eq!(
            timeout(STEP_TIMEOUT, receive_to_end(client)).await.expect("the client is migrated"),
            "card 1\r\nMOVE\r\n"
        );
        drop(upstream);
        relay.serve_task.await.expect("the relay does not panic").expect("the relay stops without an error");
    });
}

/// A line beyond the length limit is forwarded without being buffered as a whole.
#[test]
fn a_line_beyond_the_length_limit_is_forwarded_as_it_arrives() {
    run_case(async {
        let (endpoint, address) = listen().await;
        let relay = Relay::start(&[("s-1", address, "active")], 256).await;
        let mut client = relay.client(OPEN).await;
        let (mut upstream, _) = accept_connection(&endpoint).await;
        let long = "b".repeat(30_000);
        send(&mut upstream, &format!("UP r1\r\n{long}")).await;
        assert_eq!(receive_line(&mut client).await, "UP r1\r\n");
        let mut received = vec![0; 20_000];
        timeout(STEP_TIMEOUT, client.read_exact(&mut received))
            .await
            .expect("the line is forwarded in time")
            .expect("the line is received");
        send(&mut upstream, "\r\nBYE\r\n").await;
        drop(upstream);
        assert_eq!(receive_to_end(client).await, format!("{}\r\nBYE\r\n", &long[20_000..]));
    });
}

/// One connection is idle after a `PONG`, one has sent a part of its first line, one has sent nothing. Each
/// is answered before it is closed.
#[test]
fn idle_connections_are_answered_when_the_relay_shuts_down() {
    run_case(async {
        let relay = Relay::start(&[], 256).await;
        let mut idle = relay.client("PING\r\n").await;
        assert_eq!(receive_line(&mut idle).await, "PONG\r\n");
        let (incomplete, silent) = (relay.client("OPEN 9b20 7f3a c=st").await, relay.client("").await);
        relay.stop.send(()).expect("the relay runs");
        let answers = timeout(STEP_TIMEOUT, async {
            (receive_to_end(idle).await, receive_to_end(incomplete).await, receive_to_end(silent).await)
        });
        let answers = answers.await.expect("all connections are closed");
        assert_eq!(answers, ("BUSY\r\n".into(), "BUSY\r\n".into(), "BUSY\r\n".into()));
        relay.serve_task.await.expect("the relay does not panic").expect("the relay stops without an error");
    });
}

/// A request arrives after the relay has begun to close the idle connection. Its client reads an answer and
/// then the end of the connection, not a reset.
#[test]
fn a_request_on_an_idle_connection_that_is_being_closed_does_not_cause_a_reset() {
    run_case(async {
        let relay = Relay::start(&[], 256).await;
        let mut client = relay.client("PING\r\n").await;
        assert_eq!(receive_line(&mut client).await, "PONG\r\n");
        // The relay closes the connection after its idle timeout. The request is sent after the answer to
        // that.
        assert_eq!(
            timeout(STEP_TIMEOUT, receive_line(&mut client)).await.expect("an answer before the close"),
            "BUSY\r\n"
        );
        send(&mut client, OPEN).await;
        assert_eq!(receive_to_end(client).await, "");
    });
}

/// Discovery, endpoints, health checks and admin commands still get descriptors while idle clients use as
/// many as they can.
#[test]
fn idle_connections_leave_descriptors_for_requests_discovery_and_admin_commands() {
    run_case(async {
        let ((endpoint, address), (discovery, discovery_address)) = (listen().await, listen().await);
        let relay = Relay::with_discovery(&[("s-1", address, "active")], 96, discovery_address).await;
        let mut idle = Vec::new();
        for _ in 0..400 {
            idle.push(relay.client("PING\r\n").await);
        }
        let watch = timeout(STEP_TIMEOUT, accept_request(&discovery, "GET /registry/instances?index=1&"))
            .await
            .expect("the relay polls discovery");
        respond(watch, "503 Busy", "").await;
        timeout(STEP_TIMEOUT, accept_request(&discovery, "GET /registry/instances?index=1&"))
            .await
            .expect("the relay polls discovery again");
        assert_eq!(
            timeout(STEP_TIMEOUT, relay.admin_command("status\n"))
                .await
                .expect("an answer to the admin command"),
            "YES\n"
        );
        let mut client = relay.client(OPEN).await;
        let (mut upstream, _) =
            timeout(STEP_TIMEOUT, accept_connection(&endpoint)).await.expect("the request is forwarded");
        send(&mut upstream, "UP r1\r\n").await;
        assert_eq!(receive_line(&mut client).await, "UP r1\r\n");
    });
}

/// Discovery either refuses connections or does not answer.
#[test]
fn a_relay_is_ready_at_once_while_discovery_is_down() {
    run_case(async {
        let (_silent, silent_address) = listen().await;
        for discovery in ["127.0.0.1:1".parse().expect("a valid address"), silent_address] {
            let (_server, address) = listen().await;
            let relay = Relay::with_discovery(&[("s-1", address, "active")], 256, discovery).await;
            let mut client = relay.client("PING\r\n").await;
            let pong = timeout(Duration::from_secs(1), receive_line(&mut client)).await;
            assert_eq!(pong.expect("an immediate answer"), "PONG\r\n");
        }
    });
}

/// The watch does not answer, and the endpoints that it should have reported as removed no longer exist.
#[test]
fn a_silent_watch_is_reopened_when_endpoints_refuse_connections() {
    run_case(async {
        let (discovery, discovery_address) = listen().await;
        let (first, second) = (listen().await, listen().await);
        let config =
            config_value(&[("s-1", first.1, "active"), ("s-2", second.1, "active")], 256, discovery_address);
        drop((first, second));
        let relay = Relay::with_config(with_late_connects(config)).await;
        let silent_watch = accept_request(&discovery, "GET /registry/instances?index=1&").await;
        // A younger watch is not reopened, because it may still be about to answer.
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        assert!(receive_to_end(relay.client(OPEN).await).await.starts_with("BUSY"));
        timeout(STEP_TIMEOUT, accept_request(&discovery, "GET /registry/instances?index=1&"))
            .await
            .expect("the watch is reopened");
        assert_eq!(
            receive_to_end(silent_watch).await,
            "",
            "bytes were sent on the unanswered watch before it was closed"
        );
    });
}
