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

use super::environment::{COLD, Shared};

/// What starts relays.
pub struct Starter {
    program: PathBuf,
    folder: PathBuf,
    /// The operator file for sites; none where that part is off.
    sites: Option<PathBuf>,
    /// What the roll said when the world began: all that a relay knows when it comes back.
    known: Vec<Value>,
}

/// Where the relay's program is: beside this one.
pub fn program() -> Result<PathBuf, String> {
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
pub fn settings(relays: usize, me: usize, site: &str, sites: &[String]) -> Value {
    json!({
        "family": "conn", "discovery": "on_request", "fleetSize": relays, "me": me,
        "zone": site, "zones": sites, "weights": "nominal", "roundUs": 5000,
        "telemetry": {"source": "pull"},
        "familyInfo": {"groups": true, "messageAimUs": [150_000.0], "mode": "proxy",
            "tellsLoad": true, "tellsDelay": true},
        "services": [{"name": "study-session", "effect": "idempotent", "group": "all",
            "aimUs": 300_000, "hardLimitUs": 1_200_000, "stream": true, "worth": 1.0}],
        "permissions": {"probing": true, "maxAttempts": 6, "connectTimeoutUs": 250_000,
            "retryAfter": true, "maxRetryAfterUs": 600_000, "idleCloseUs": 30_000_000, "mayCancel": true},
        "rules": {"startCapacity": 0.32, "coldUs": COLD, "overloadFactor": 3.0, "fallUs": 2_000_000,
            "graceToAnswerUs": 20_000, "stopSendingWithinUs": 500_000, "mustAskInUs": 10_000_000},
        "tariffs": {"crossZone": 0.2, "moves": 0.008, "probe": 0.0032, "waste": 0.3}})
}

impl Starter {
    /// Relays of `program` that keep their files in `folder`.
    pub fn new(world: &Shared, program: PathBuf, folder: &Path, sites: Option<PathBuf>) -> Starter {
        let world = world.borrow();
        let known = (0..world.size.relays)
            .map(|relay| world.roll.list(None, |server| world.card_address(server, relay).to_string()))
            .collect();
        Starter { program, folder: folder.to_owned(), sites, known }
    }

    fn config(&self, world: &Shared, relay: usize, life: u32) -> Value {
        let world = world.borrow();
        let site = &world.size.sites[world.front.site_of(relay)];
        json!({
            "name": format!("n{relay}"),
            "listen": world.relay_address(relay).to_string(),
            "discovery": world.roll_address(relay).to_string(),
            "seed": format!("{:x}", world.seed() ^ (relay as u64) << 32 ^ u64::from(life)),
            "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 4096},
            "known": self.known[relay],
            "settings": settings(world.size.relays, relay, site, &world.size.sites),
        })
    }

    /// Starts a relay and waits until it answers. Its log goes to a file in the folder.
    pub async fn start(&self, world: &Shared, relay: usize, life: u32) -> Result<Child, String> {
        let path = self.folder.join(format!("n{relay}.json"));
        let log = self.folder.join(format!("n{relay}-{life}.log"));
        let told = |e: io::Error| format!("{}: {e}", path.display());
        std::fs::write(&path, self.config(world, relay, life).to_string()).map_err(told)?;
        world.borrow_mut().roll.forget(relay);
        let mut command = Command::new(&self.program);
        command.arg("serve").env("EDGE_CONFIG", &path).stdin(Stdio::null()).kill_on_drop(true);
        for name in ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "HONEYKNOT_SITES", "HONEYKNOT_NEIGHBORS"] {
            command.env_remove(name);
        }
        if let Some(sites) = &self.sites {
            command.arg("--sites").arg(sites);
        }
        let file = File::create(&log).map_err(told)?;
        command.stdout(file.try_clone().map_err(told)?).stderr(file);
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?;
        let address = world.borrow().relay_address(relay);
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
    timeout(Duration::from_millis(300), ask).await.is_ok_and(|told| told.unwrap_or(false))
}
