//! Emulated discovery: serves the endpoint list over HTTP, with long polling for changes. The scenario
//! decides when a change is published.

use std::collections::BTreeMap;

use serde_json::json;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::endpoint_model::Micros;
use super::environment::SharedEnvironment;
use super::protocol::{DiscoveryRequest, read_request};

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Index of the endpoint.
    pub index: usize,
    /// Id of the endpoint.
    pub id: String,
    /// Name of its zone.
    pub zone: String,
    /// Its weight, proportional to its capacity.
    pub weight: f64,
    /// When it started, in Unix milliseconds; 0 if it has been running for a long time.
    pub started_ms: u64,
    /// Its state: `active`, `leaving` or `left`.
    pub state: &'static str,
}

/// The endpoint list, and the times at which relays were notified of draining and removed endpoints.
#[derive(Debug)]
pub struct EmulatedDiscovery {
    version: watch::Sender<u64>,
    entries: BTreeMap<usize, EndpointEntry>,
    /// Version in which the entry of each endpoint last changed, by endpoint index.
    changed_in_version: BTreeMap<usize, u64>,
    /// When each relay was first notified that an endpoint drains or is removed, by relay and endpoint index.
    notified_at: BTreeMap<(usize, usize), Micros>,
    /// Whether discovery closes connections without an answer.
    pub down: bool,
}

impl Default for EmulatedDiscovery {
    fn default() -> EmulatedDiscovery {
        let (entries, changed_in_version, notified_at) = Default::default();
        EmulatedDiscovery {
            version: watch::Sender::new(0),
            entries,
            changed_in_version,
            notified_at,
            down: false,
        }
    }
}

impl EmulatedDiscovery {
    /// Updates or adds entries, all in one new version of the list.
    pub fn update_entries(&mut self, entries: Vec<EndpointEntry>) {
        let version = *self.version.borrow() + 1;
        for entry in entries {
            self.changed_in_version.insert(entry.index, version);
            self.entries.insert(entry.index, entry);
        }
        self.version.send_replace(version);
    }

    /// Returns when a relay was notified that an endpoint accepts no new connections, in Unix microseconds;
    /// `None` if the relay was not notified of that.
    pub fn notified_at(&self, relay: usize, index: usize) -> Option<Micros> {
        self.notified_at.get(&(relay, index)).copied()
    }

    /// Forgets what a relay was notified of, because it restarts.
    pub fn forget_relay(&mut self, relay: usize) {
        self.notified_at.retain(|(r, _), _| *r != relay);
    }

    /// Returns the whole endpoint list or, if `since` is given, the changes since that version, as JSON.
    /// `address` returns the address of an endpoint for the relay that asked.
    pub fn list(&self, since: Option<u64>, address: impl Fn(usize) -> String) -> serde_json::Value {
        let has_changed = |index: &usize| since.is_none_or(|since| self.changed_in_version[index] > since);
        let listed = self.entries.values().filter(|e| has_changed(&e.index));
        let listed = listed.filter(|e| since.is_some() || e.state != "left");
        let servers: Vec<_> = listed
            .map(|e| {
                json!({"id": e.id, "addr": address(e.index), "zone": e.zone, "kind": "m", "cell": 0,
                    "state": e.state, "weight": e.weight, "started_ms": e.started_ms})
            })
            .collect();
        json!({"version": *self.version.borrow(), "full": since.is_none(), "servers": servers})
    }

    /// Records that a relay has been sent the changes after version `since`, up to version `last_version`.
    fn record_notified(&mut self, relay: usize, since: Option<u64>, last_version: u64, now: Micros) {
        for entry in self.entries.values() {
            let changed_in_version = self.changed_in_version[&entry.index];
            if changed_in_version > last_version || since.is_some_and(|since| changed_in_version <= since) {
                continue;
            }
            let key = (relay, entry.index);
            match entry.state {
                "active" => drop(self.notified_at.remove(&key)),
                _ => drop(self.notified_at.entry(key).or_insert(now)),
            }
        }
    }
}

/// Serves discovery to one relay.
///
/// # Errors
/// Returns an error if the relay's discovery address cannot be bound.
pub async fn serve(environment: SharedEnvironment, relay: usize) -> std::io::Result<()> {
    let address = environment.borrow().discovery_address(relay);
    let listener = TcpListener::bind(address).await?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(answer(environment.clone(), relay, stream));
        }
    });
    Ok(())
}

/// Answers the requests of one connection until it is closed.
async fn answer(environment: SharedEnvironment, relay: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some(DiscoveryRequest { since, wait }) = read_request(&mut stream).await {
        let mut version = environment.borrow().discovery.version.subscribe();
        if let Some(since) = since {
            let _ = tokio::time::timeout(wait, version.wait_for(|v| *v > since)).await;
        }
        if environment.borrow().discovery.down {
            return;
        }
        let (body, last_version) = {
            let environment = environment.borrow();
            let last_version = *environment.discovery.version.borrow();
            let list = environment
                .discovery
                .list(since, |index| environment.endpoint_address(index, relay).to_string());
            (list.to_string(), last_version)
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let mut environment = environment.borrow_mut();
        let now = environment.now();
        environment.discovery.record_notified(relay, since, last_version, now);
    }
}
