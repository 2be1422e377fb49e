//! The relay's command line, admin commands, hot restart messages, metrics and operators' files.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

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
