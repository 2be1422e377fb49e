//! Encodes the balancer's actions as messages to the simulator.

use honeyknot_balancer::Action;
use serde_json::{Value, json};

/// The peer number that addresses all peers.
const ALL_PEERS: i64 = -1;

/// Encodes an action of the instance with this id.
pub(super) fn encode_action(instance: &str, action: Action) -> Value {
    match action {
        Action::Forward { id, endpoint, timeout, .. } => {
            json!(["handOff", instance, id.0, &*endpoint.0, timeout])
        }
        Action::Reject { id, retry_after } => json!(["reject", instance, id.0, retry_after]),
        Action::Fail(id) => json!(["respondError", instance, id.0]),
        Action::Migrate(id) => json!(["goAway", instance, id.0]),
        Action::Cancel { id, attempt } => json!(["withdraw", instance, id.0, attempt.0]),
        Action::CheckHealth(endpoint) => json!(["probe", instance, &*endpoint.0]),
        Action::SetTimer { delay, token } => json!(["wakeMe", instance, delay, token.0]),
        Action::Watch(on) => json!(["track", instance, on]),
        Action::FetchEndpoints => json!(["getList", instance]),
        Action::CloseIdleConnections(endpoint) => json!(["letGo", instance, &*endpoint.0]),
        Action::SendPeerMessage { to, payload } => {
            json!(["publish", instance, to.map_or(ALL_PEERS, i64::from), hexadecimal(&payload)])
        }
        Action::Log(text) => json!(["journalLine", instance, text]),
    }
}

/// Encodes the message that ends the reply to a batch.
pub(super) fn encode_batch_end(batch: u64) -> Value {
    json!(["finished", batch])
}

/// Encodes the message that an instance has panicked, with the panic's text.
pub(super) fn encode_panic(instance: &str, text: &str) -> Value {
    json!(["broken", instance, text])
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
