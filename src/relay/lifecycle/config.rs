//! What a relay is told at its start.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use honeyknot_gossip as neighbors;
use honeyknot_metrics as gauges;
use honeyknot_zone_failover::ZoneFailoverConfig;
use serde_json::Value;

use crate::relay::connections::protocol::socket_address;
use crate::relay::endpoints::discovery_client::{EndpointListUpdate, parse_endpoint_list};
use crate::settings::{self, NameTable};
use honeyknot_balancer::Settings;

/// Descriptors to live within where no limit is told.
const SOCKETS: u64 = 1024;

/// A variable of the environment; an empty one counts as not set.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

/// The largest key file that is read.
const KEY_FILE: u64 = 4096;

/// Reads a key file: one line, `USER: PASSWORD`, that nobody but its owner may read.
pub fn secret(path: &str) -> Result<(String, String), String> {
    use std::os::unix::fs::PermissionsExt;
    let about = std::fs::metadata(path).map_err(|e| e.to_string())?;
    if about.permissions().mode() & 0o077 != 0 {
        return Err("others than its owner may use the key file; set its mode to 0600".into());
    }
    if !about.is_file() || about.len() > KEY_FILE {
        return Err(format!("not a file of at most {KEY_FILE} bytes"));
    }
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    let words = text.trim().split_once(':').map(|(user, password)| (user.trim(), password.trim()));
    let sound = |(user, password): &(&str, &str)| {
        (1..=128).contains(&user.len()) && !password.is_empty() && !password.contains('\n')
    };
    let (user, password) = words.filter(sound).ok_or("a key file is one line: USER: PASSWORD")?;
    Ok((user.to_owned(), password.to_owned()))
}

/// Files by which operators switch on what the platform's configuration does not speak of.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct OperatorFiles {
    /// Tiers of sites, the limit on spill and the way back: an operator file such as deploy/sites.conf.
    #[arg(long, value_name = "FILE", env = "HONEYKNOT_SITES")]
    pub sites: Option<PathBuf>,
    /// Sinks of metrics: an operator file such as deploy/metrics.conf.
    #[arg(long, value_name = "FILE", env = "HONEYKNOT_METRICS")]
    pub metrics: Option<PathBuf>,
    /// The relays nearby, and witnesses of card servers: an operator file such as deploy/neighbors.conf.
    #[arg(long, value_name = "FILE", env = "HONEYKNOT_NEIGHBORS")]
    pub neighbors: Option<PathBuf>,
}

/// A relay's configuration.
pub struct Config {
    /// The relay's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where operators call; nobody can where it is not given.
    pub admin: Option<SocketAddr>,
    /// Seeds the decisions' random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The server roll as last held.
    pub known: Option<EndpointListUpdate>,
    /// What the decisions are told.
    pub settings: Settings,
    /// The settings' names.
    pub names: NameTable,
    /// The operators' plan for losing and regaining sites; none where it is not switched on.
    pub sites: Option<ZoneFailoverConfig>,
    /// The operators' sinks of metrics; none where they are not switched on.
    pub metrics: Option<gauges::Plan>,
    /// The operators' plan for relays that know of each other; none where it is not switched on.
    pub neighbors: Option<neighbors::Plan>,
}

impl Config {
    /// Reads `EDGE_CONFIG`'s file; the other variables, where set, go before what it says. Operator files are read
    /// against it, and the faults of all of them are told.
    pub fn from_environment(files: &OperatorFiles) -> Result<Config, String> {
        Config::from_file(files, variable)
    }

    /// Reads the files again. Where discovery is, the file alone says now: the variable still holds what was told
    /// at the start. Guards against a reload that changes nothing.
    pub fn again(files: &OperatorFiles) -> Result<Config, String> {
        Config::from_file(files, |name| variable(name).filter(|_| name != "EDGE_DISCOVERY"))
    }

    fn from_file(files: &OperatorFiles, var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let path = var("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set")?;
        let text = std::fs::read(Path::new(&path)).map_err(|e| format!("{path}: {e}"))?;
        let mut config = Config::read(&text, var).map_err(|e| format!("{path}: {e}"))?;
        if let Some(file) = &files.sites {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let plan = ZoneFailoverConfig::read(&file.display().to_string(), &text, config.names.zones());
            config.sites = Some(plan.map_err(|faults| faults.to_string())?);
        }
        if let Some(file) = &files.metrics {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let plan = gauges::Plan::read(&file.display().to_string(), &text, secret);
            config.metrics = Some(plan.map_err(|faults| faults.to_string())?);
        }
        if let Some(file) = &files.neighbors {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let plan = neighbors::Plan::read(&file.display().to_string(), &text);
            let plan = plan.map_err(|faults| faults.to_string())?;
            plan.check_listen(config.listen).map_err(|e| format!("{}: {e}", file.display()))?;
            config.neighbors = Some(plan);
        }
        Ok(config)
    }

    /// Reads a configuration; `var` looks up the environment.
    pub fn read(text: &[u8], var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let value: Value = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
        let word = |name: &str, variable: &str| -> Result<String, String> {
            let told = var(variable).or_else(|| value.get(name)?.as_str().map(str::to_owned));
            told.ok_or_else(|| format!("neither `{name}` nor {variable} is given"))
        };
        let dialled = |name: &str, variable: &str| -> Result<SocketAddr, String> {
            let text = word(name, variable)?;
            socket_address(&text).ok_or_else(|| format!("`{name}` is no address: {text}"))
        };
        let admin = var("EDGE_ADMIN_ADDR").or_else(|| Some(value.get("admin_addr")?.as_str()?.to_owned()));
        let admin = match (admin, value.get("admin_addr")) {
            (Some(text), _) => {
                Some(socket_address(&text).ok_or_else(|| format!("`admin_addr` is no address: {text}"))?)
            }
            (None, None | Some(Value::Null)) => None,
            (None, Some(other)) => return Err(format!("`admin_addr` is no address: {other}")),
        };
        let listen = dialled("listen", "EDGE_LISTEN")?;
        if admin == Some(listen) {
            return Err(format!("`admin_addr` is where clients connect: {listen}"));
        }
        let seed = value.get("seed").and_then(Value::as_str).ok_or("`seed` is missing")?;
        let seed = u64::from_str_radix(seed, 16).map_err(|_| format!("`seed` is no hex number: {seed}"))?;
        let sockets = match value.pointer("/limits/sockets") {
            None | Some(Value::Null) => SOCKETS,
            Some(v) => v.as_u64().ok_or("`limits.sockets` is no whole number")?,
        };
        let (settings, names) =
            settings::parse_settings(value.get("settings").ok_or("`settings` is missing")?)
                .map_err(|error| error.to_string())?;
        let known = value.get("known").filter(|v| !v.is_null());
        let known =
            known.map(|v| parse_endpoint_list(v, &names)).transpose().map_err(|e| format!("`known`: {e}"))?;
        Ok(Config {
            name: word("name", "EDGE_NAME")?,
            listen,
            discovery: dialled("discovery", "EDGE_DISCOVERY")?,
            admin,
            seed,
            sockets: usize::try_from(sockets).unwrap_or(usize::MAX),
            known,
            settings,
            names,
            sites: None,
            metrics: None,
            neighbors: None,
        })
    }
}
