//! Relays as real processes of the program `honeyknot-relay`.

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

/// What starts relays.
#[derive(Debug)]
pub struct RelayLauncher {
    program: PathBuf,
    folder: PathBuf,
    /// The operator file for zones; none where that part is off.
    sites_file: Option<PathBuf>,
    /// What discovery said when the environment began: all that a relay knows when it comes back.
    initial_endpoints: Vec<Value>,
}

/// Where the relay's program is: beside this one.
pub fn relay_program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| format!("this program's place is unknown: {e}"))?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join("honeyknot-relay")).find(|p| p.is_file());
    found.ok_or_else(|| {
        let profile = if cfg!(debug_assertions) { "" } else { " --release" };
        format!(
            "the relay's program is not beside {}; build it with: cargo build{profile} --locked -p honeyknot-relay",
            own.display()
        )
    })
}

/// The settings of a relay of this number, of a fleet of so many, as the platform tells them.
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
    /// Relays of `program` that keep their files in `folder`.
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

    /// Starts a relay and waits until it answers. Its log goes to a file in the folder.
    pub async fn start(
        &self, environment: &SharedEnvironment, relay: usize, incarnation: u32,
    ) -> Result<Child, String> {
        let path = self.folder.join(format!("n{relay}.json"));
        let log = self.folder.join(format!("n{relay}-{incarnation}.log"));
        let describe = |e: io::Error| format!("{}: {e}", path.display());
        std::fs::write(&path, self.config(environment, relay, incarnation).to_string()).map_err(describe)?;
        environment.borrow_mut().discovery.forget_relay(relay);
        let mut command = Command::new(&self.program);
        command.arg("serve").env("EDGE_CONFIG", &path).stdin(Stdio::null()).kill_on_drop(true);
        for name in ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "HONEYKNOT_SITES", "HONEYKNOT_NEIGHBORS"] {
            command.env_remove(name);
        }
        if let Some(sites_file) = &self.sites_file {
            command.arg("--sites").arg(sites_file);
        }
        let file = File::create(&log).map_err(describe)?;
        command.stdout(file.try_clone().map_err(describe)?).stderr(file);
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?;
        let address = environment.borrow().relay_address(relay);
        for _ in 0..250 {
            if let Ok(Some(status)) = child.try_wait() {
                let text = std::fs::read_to_string(&log).unwrap_or_default();
                return Err(format!("relay n{relay} ended at its start ({status}): {}", text.trim()));
            }
            if ready(address).await {
                return Ok(child);
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(format!("relay n{relay} does not answer at {address}"))
    }
}

async fn ready(address: std::net::SocketAddr) -> bool {
    let ask = async {
        let mut stream = BufReader::new(TcpStream::connect(address).await?);
        stream.write_all(b"PING\r\n").await?;
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        io::Result::Ok(line == "PONG\r\n")
    };
    timeout(Duration::from_millis(300), ask).await.is_ok_and(|describe| describe.unwrap_or(false))
}
