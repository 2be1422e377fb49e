//! Moments at which an event comes between two others that usually follow each other. Each case makes the bad order happen
//! every time, by gates and not by waiting.

mod loopback;

use std::time::Duration;

use loopback::{Late, OPEN, Relay, answer, call, case, config_value, list, listen, rest};
use serde_json::{Value, json};
use tokio::time::timeout;

/// Longer than anything here should take, shorter than what the relay does by itself when nothing happens.
const SOON: Duration = Duration::from_secs(5);

/// A configuration without probes, in which connections may come up late.
fn patient(mut config: Value, set: &[(&str, &str, Value)]) -> Value {
    let settings = &mut config["settings"];
    settings["permissions"]["probing"] = json!(false);
    settings["permissions"]["connectTimeoutUs"] = json!(4_000_000);
    for (part, name, value) in set {
        settings[part][name] = value.clone();
    }
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
        let config = config_value(&[("s-1", late.at, "active")], 256, discovery_at);
        let grace = json!(20_000_000);
        let relay = Relay::of(patient(config, &[("rules", "stopSendingWithinUs", grace)])).await;
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
