//! The server roll over HTTP, with watches; it learns of things as late as the scenario says.

use std::collections::BTreeMap;

use serde_json::json;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::environment::Shared;
use crate::emulators::endpoint_model::Micros;
use crate::emulators::protocol::{Query, query};

/// A line of the roll.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The card server's number.
    pub server: usize,
    /// Its id.
    pub id: String,
    /// Its site's name.
    pub site: String,
    /// Its size.
    pub weight: f64,
    /// When it started, in Unix milliseconds; 0 is long ago.
    pub started_ms: u64,
    /// `active`, `leaving` or `left`.
    pub state: &'static str,
}

/// The roll, and what each relay has been told of it.
pub struct Roll {
    version: watch::Sender<u64>,
    entries: BTreeMap<usize, Entry>,
    changed: BTreeMap<usize, u64>,
    /// When a relay was told that a card server leaves or has left.
    told: BTreeMap<(usize, usize), Micros>,
    /// It does not answer.
    pub down: bool,
}

impl Default for Roll {
    fn default() -> Roll {
        let (entries, changed, told) = Default::default();
        Roll { version: watch::Sender::new(0), entries, changed, told, down: false }
    }
}

impl Roll {
    /// Changes some lines, in one version.
    pub fn change(&mut self, entries: Vec<Entry>) {
        let version = *self.version.borrow() + 1;
        for entry in entries {
            self.changed.insert(entry.server, version);
            self.entries.insert(entry.server, entry);
        }
        self.version.send_replace(version);
    }

    /// When a relay was told that a card server takes nothing new; none if it does.
    pub fn told(&self, relay: usize, server: usize) -> Option<Micros> {
        self.told.get(&(relay, server)).copied()
    }

    /// Forgets what a relay was told: it has started anew.
    pub fn forget(&mut self, relay: usize) {
        self.told.retain(|(r, _), _| *r != relay);
    }

    /// The whole roll, or what has changed since a version, as one relay sees it.
    pub fn list(&self, since: Option<u64>, address: impl Fn(usize) -> String) -> serde_json::Value {
        let new = |server: &usize| since.is_none_or(|since| self.changed[server] > since);
        let shown = self.entries.values().filter(|e| new(&e.server));
        let shown = shown.filter(|e| since.is_some() || e.state != "left");
        let servers: Vec<_> = shown
            .map(|e| {
                json!({"id": e.id, "addr": address(e.server), "zone": e.site, "kind": "m", "cell": 0,
                    "state": e.state, "weight": e.weight, "started_ms": e.started_ms})
            })
            .collect();
        json!({"version": *self.version.borrow(), "full": since.is_none(), "servers": servers})
    }

    /// The answer has been written to a relay: what it tells counts as told.
    fn note_told(&mut self, relay: usize, since: Option<u64>, upto: u64, now: Micros) {
        for entry in self.entries.values() {
            let changed = self.changed[&entry.server];
            if changed > upto || since.is_some_and(|since| changed <= since) {
                continue;
            }
            let key = (relay, entry.server);
            match entry.state {
                "active" => drop(self.told.remove(&key)),
                _ => drop(self.told.entry(key).or_insert(now)),
            }
        }
    }
}

/// Serves the roll to one relay.
pub async fn serve(world: Shared, relay: usize) -> std::io::Result<()> {
    let address = world.borrow().roll_address(relay);
    let listener = TcpListener::bind(address).await?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(answer(world.clone(), relay, stream));
        }
    });
    Ok(())
}

async fn answer(world: Shared, relay: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some(Query { since, wait }) = query(&mut stream).await {
        let mut version = world.borrow().roll.version.subscribe();
        if let Some(since) = since {
            let _ = tokio::time::timeout(wait, version.wait_for(|v| *v > since)).await;
        }
        if world.borrow().roll.down {
            return;
        }
        let (body, upto) = {
            let world = world.borrow();
            let upto = *world.roll.version.borrow();
            let list = world.roll.list(since, |server| world.card_address(server, relay).to_string());
            (list.to_string(), upto)
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let mut world = world.borrow_mut();
        let now = world.now();
        world.roll.note_told(relay, since, upto, now);
    }
}
