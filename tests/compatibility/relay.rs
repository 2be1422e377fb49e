//! What the relay stores, says to the process that replaces it, counts, and reads from operators' files.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use honeyknot_relay::relay::lifecycle::config::Config;
use honeyknot_relay::relay::lifecycle::hot_restart::StateDirectory as HotRestartFolder;
use honeyknot_relay::relay::{Listeners, serve_with_listeners};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

#[path = "relay/admin.rs"]
mod admin;
#[path = "relay/command_line.rs"]
mod command_line;
#[path = "relay/hot_restart.rs"]
mod hot_restart;
#[path = "relay/metrics.rs"]
mod metrics;
#[path = "relay/operator_files.rs"]
mod operator_files;

#[path = "../support/loopback.rs"]
mod loopback;
#[path = "../support/process.rs"]
mod process;

/// The folder of the files that the program wrote before the renames.
const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/compatibility/fixtures/relay");

/// The bytes of a fixture.
fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(FIXTURES).join(name);
    fs::read(&path).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// A fixture that is text.
fn fixture_text(name: &str) -> String {
    String::from_utf8(fixture(name)).expect("a fixture in UTF-8")
}

/// An address of the loopback interface.
fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// Starts a relay in this process, which meets others of its kind in the given folder.
async fn start_relay(config: Config, folder: Option<HotRestartFolder>) -> loopback::Relay {
    let (clients, at) = loopback::listen().await;
    let (operators, admin) = loopback::listen().await;
    let (stop, stopped) = oneshot::channel();
    let (reloads, reloaded) = unbounded_channel();
    let stopped = async move {
        let _ = stopped.await;
    };
    let listeners = Listeners {
        clients,
        admin: Some(operators),
        state_directory: folder.map(Rc::new),
        predecessor: None,
    };
    let serve_task = spawn_local(serve_with_listeners(listeners, config, stopped, reloaded));
    loopback::Relay { address: at, admin, reloads, stop, serve_task }
}
