//! Starts relays as processes of the program `honeyknot-relay`.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

use super::emulated_endpoint::MAX_WARM_UP;
use super::environment::SharedEnvironment;

/// Starts relay processes for an environment.
#[derive(Debug)]
pub struct RelayLauncher {
    program: PathBuf,
    folder: PathBuf,
    /// Path of the `sites.conf` operator file; `None` if the relays run without zone failover.
    sites_file: Option<PathBuf>,
    /// Endpoint list of each relay when the environment was created. A relay starts with this list, also
    /// after it was killed.
    initial_endpoints: Vec<Value>,
}

/// Returns the path of the relay program, which is next to this program or one folder above it.
///
/// # Errors
/// Returns a message if the relay program is not found there.
pub fn relay_program() -> Result<PathBuf, String> {
    let own =
        std::env::current_exe().map_err(|e| format!("cannot determine the path of this program: {e}"))?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join("honeyknot-relay")).find(|p| p.is_file());
    found.ok_or_else(|| {
        let profile = if cfg!(debug_assertions) { "" } else { " --release" };
        format!(
            "honeyknot-relay is not in the folder of {} or the one above; build it with: cargo build{profile} --locked -p honeyknot-relay",
            own.display()
        )
    })
}

/// Returns the settings that the platform gives to the relay with index `relay_index` of a fleet of
/// `relay_count`.
pub fn relay_settings(relay_count: usize, relay_index: usize, zone: &str, zones: &[String]) -> Value {
    json!({
        "family": "conn", "discovery": "on_request", "fleetSize": relay_count, "me": relay_index,
        "zone": zone, "zones": zones, "weights": "nominal", "roundUs": 5000,
        "telemetry": {"source": "pull"},
        "familyInfo": {"groups": true, "messageAimUs": [150_000.0], "mode": "proxy",
            "tellsLoad": true, "tellsDelay": true},
        "services": [{"name": "study-session", "effect": "idempotent", "group": "all",
            "aimUs": 300_000, "hardLimitUs": 1_200_000, "stream": true, "worth": 1.0}],
        "permissions": {"probing": true, "maxAttempts": 6, "connectTimeoutUs": 250_000,
            "retryAfter": true, "maxRetryAfterUs": 600_000, "idleCloseUs": 30_000_000, "mayCancel": true},
        "rules": {"startCapacity": 0.32, "coldUs": MAX_WARM_UP, "overloadFactor": 3.0, "fallUs": 2_000_000,
            "graceToAnswerUs": 20_000, "stopSendingWithinUs": 500_000, "mustAskInUs": 10_000_000},
        "tariffs": {"crossZone": 0.2, "moves": 0.008, "probe": 0.0032, "waste": 0.3}})
}

impl RelayLauncher {
    /// Creates a launcher of `program`; configuration files and logs are written to `folder`.
    pub fn new(
        environment: &SharedEnvironment, program: PathBuf, folder: &Path, sites_file: Option<PathBuf>,
    ) -> RelayLauncher {
        let environment = environment.borrow();
        let initial_endpoints = (0..environment.size.relays)
            .map(|relay| {
                environment
                    .discovery
                    .list(None, |endpoint| environment.endpoint_address(endpoint, relay).to_string())
            })
            .collect();
        RelayLauncher { program, folder: folder.to_owned(), sites_file, initial_endpoints }
    }

    fn config(&self, environment: &SharedEnvironment, relay: usize, incarnation: u32) -> Value {
        let environment = environment.borrow();
        let zone = &environment.size.zones[environment.front_proxy.zone_of(relay)];
        json!({
            "name": format!("n{relay}"),
            "listen": environment.relay_address(relay).to_string(),
            "discovery": environment.discovery_address(relay).to_string(),
            "seed": format!("{:x}", environment.seed() ^ (relay as u64) << 32 ^ u64::from(incarnation)),
            "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 4096},
            "known": self.initial_endpoints[relay],
            "settings": relay_settings(environment.size.relays, relay, zone, &environment.size.zones),
        })
    }

    /// Starts a relay and waits until it answers. Its log is written to a file in the launcher's folder.
    ///
    /// # Errors
    /// Returns a message if a file cannot be written, or the relay exits or does not answer.
    pub async fn start(
        &self, environment: &SharedEnvironment, relay: usize, incarnation: u32,
    ) -> Result<Child, String> {
        let path = self.folder.join(format!("n{relay}.json"));
        let log = self.folder.join(format!("n{relay}-{incarnation}.log"));
        let file_error = |e: io::Error| {
            format!("cannot write the relay configuration {} or the log next to it: {e}", path.display())
        };
        std::fs::write(&path, self.config(environment, relay, incarnation).to_string())
            .map_err(file_error)?;
        environment.borrow_mut().discovery.forget_relay(relay);
        let mut command = Command::new(&self.program);
        command.arg("serve").env("EDGE_CONFIG", &path).stdin(Stdio::null()).kill_on_drop(true);
        for name in ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "HONEYKNOT_SITES", "HONEYKNOT_NEIGHBORS"] {
            command.env_remove(name);
        }
        if let Some(sites_file) = &self.sites_file {
            command.arg("--sites").arg(sites_file);
        }
        let file = File::create(&log).map_err(file_error)?;
        command.stdout(file.try_clone().map_err(file_error)?).stderr(file);
        let mut child =
            command.spawn().map_err(|e| format!("cannot start {}: {e}", self.program.display()))?;
        let address = environment.borrow().relay_address(relay);
        for _ in 0..250 {
            if let Ok(Some(status)) = child.try_wait() {
                let text = std::fs::read_to_string(&log).unwrap_or_default();
                return Err(format!(
                    "relay n{relay} exited during startup ({status}); its output: {}",
                    text.trim()
                ));
            }
            if is_ready(address).await {
                return Ok(child);
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(format!("relay n{relay} runs but does not answer PING at {address}"))
    }
}

async fn is_ready(address: std::net::SocketAddr) -> bool {
    let ping = async {
        let mut stream = BufReader::new(TcpStream::connect(address).await?);
        stream.write_all(b"PING\r\n").await?;
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        io::Result::Ok(line == "PONG\r\n")
    };
    timeout(Duration::from_millis(300), ping).await.is_ok_and(|result| result.unwrap_or(false))
}
