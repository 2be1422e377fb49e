//! The relay's command line, admin commands, hot restart messages, metrics and operators' files.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use honeyknot_relay::relay::lifecycle::config::Config;
use honeyknot_relay::relay::lifecycle::hot_restart::StateDirectory as HotRestartDirectory;
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

/// Directory of the files that the previous version wrote.
const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/compatibility/fixtures/relay");

/// Returns the bytes of a fixture.
fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(FIXTURES).join(name);
    fs::read(&path).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Returns a fixture as text.
fn fixture_text(name: &str) -> String {
    String::from_utf8(fixture(name)).expect("the fixture is UTF-8")
}

/// Parses a socket address.
fn address(text: &str) -> SocketAddr {
    text.parse().expect("a valid address")
}

/// Starts a relay in this process. If a state directory is given, other processes of the relay can connect to
/// it there.
async fn start_relay(config: Config, directory: Option<HotRestartDirectory>) -> loopback::Relay {
    let (clients, client_address) = loopback::listen().await;
    let (operators, admin) = loopback::listen().await;
    let (stop, stop_signal) = oneshot::channel();
    let (reloads, reloaded) = unbounded_channel();
    let stop_signal = async move {
        let _ = stop_signal.await;
    };
    let listeners = Listeners {
        clients,
        admin: Some(operators),
        state_directory: directory.map(Rc::new),
        predecessor: None,
    };
    let serve_task = spawn_local(serve_with_listeners(listeners, config, stop_signal, reloaded));
    loopback::Relay { address: client_address, admin, reloads, stop, serve_task }
}
