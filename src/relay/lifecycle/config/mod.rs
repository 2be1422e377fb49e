//! The relay's configuration: the platform's JSON file, environment variables that override it, and operator
//! files.

mod error;
mod key_file;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{fmt, fs};

use honeyknot_balancer::Settings;
use honeyknot_gossip::GossipConfig;
use honeyknot_metrics::MetricsConfig;
use honeyknot_zone_failover::ZoneFailoverConfig;
use serde_json::Value;

use crate::relay::connections::protocol::parse_socket_address;
use crate::relay::endpoints::discovery_client::{EndpointListUpdate, parse_endpoint_list};
use crate::settings::{self, NameTable};
pub use error::{ConfigError, KeyFileError, LoadConfigError};
pub use key_file::read_key_file;

/// Limit on the process's file descriptors where the configuration gives none.
const DEFAULT_MAX_DESCRIPTORS: u64 = 1024;

/// Returns the value of an environment variable, or `None` if it is not set or empty.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Files by which operators enable features that the platform's configuration does not cover.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct OperatorFiles {
    /// Operator file that enables zone failover and sets its tiers and limits, such as deploy/sites.conf.
    #[arg(long = "sites", value_name = "FILE", env = "HONEYKNOT_SITES")]
    pub zone_failover: Option<PathBuf>,
    /// Operator file that enables exporters of metrics, such as deploy/metrics.conf.
    #[arg(long, value_name = "FILE", env = "HONEYKNOT_METRICS")]
    pub metrics: Option<PathBuf>,
    /// Operator file that enables gossip with other relays and shared health checks, such as
    /// deploy/neighbors.conf.
    #[arg(long = "neighbors", value_name = "FILE", env = "HONEYKNOT_NEIGHBORS")]
    pub gossip: Option<PathBuf>,
}

/// A relay's configuration.
pub struct Config {
    /// The relay's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The admin address; `None` if there is none.
    pub admin: Option<SocketAddr>,
    /// Seed of the balancer's random number generator.
    pub seed: u64,
    /// Limit on the process's file descriptors.
    pub max_descriptors: usize,
    /// The endpoint list to start with; `None` if the configuration has none.
    pub known_endpoints: Option<EndpointListUpdate>,
    /// The balancer's settings.
    pub settings: Settings,
    /// The names of classes, tenants, zones and machine types in the settings.
    pub names: NameTable,
    /// The configuration of zone failover; `None` if it is disabled.
    pub zone_failover: Option<ZoneFailoverConfig>,
    /// The configuration of metrics exporters; `None` if there are none.
    pub metrics: Option<MetricsConfig>,
    /// The configuration of gossip with other relays; `None` if it is disabled.
    pub gossip: Option<GossipConfig>,
}

impl fmt::Debug for Config {
    /// Omits what comes from operator files, because the metrics configuration holds passwords.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = formatter.debug_struct("Config");
        fields.field("name", &self.name).field("listen", &self.listen).field("discovery", &self.discovery);
        fields.finish_non_exhaustive()
    }
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names and the operator files; other `EDGE_` variables override the
    /// file's values.
    ///
    /// # Errors
    /// If a file cannot be read or used.
    pub fn from_environment(files: &OperatorFiles) -> Result<Config, LoadConfigError> {
        Config::load(files, environment_variable)
    }

    /// Reads the files again for a reload, and ignores `EDGE_DISCOVERY`.
    ///
    /// The variable still holds the address that the process was started with, so a new address in the file
    /// would otherwise never take effect.
    ///
    /// # Errors
    /// If a file cannot be read or used.
    pub fn reread(files: &OperatorFiles) -> Result<Config, LoadConfigError> {
        Config::load(files, |name| environment_variable(name).filter(|_| name != "EDGE_DISCOVERY"))
    }

    fn load(
        files: &OperatorFiles, variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, LoadConfigError> {
        let path = variable("EDGE_CONFIG").ok_or(LoadConfigError::FileNotNamed)?;
        let text = fs::read(&path).map_err(|source| LoadConfigError::Read { path: path.clone(), source })?;
        let config = Config::read(&text, variable);
        let mut config = config.map_err(|source| LoadConfigError::Invalid { path, source })?;
        if let Some(file) = &files.zone_failover {
            let text = read_operator_file(file)?;
            let parsed = ZoneFailoverConfig::read(&display(file), &text, config.names.zones());
            config.zone_failover = Some(parsed?);
        }
        if let Some(file) = &files.metrics {
            let text = read_operator_file(file)?;
            let read_key = |path: &str| read_key_file(path).map_err(|error| error.to_string());
            config.metrics = Some(MetricsConfig::read(&display(file), &text, read_key)?);
        }
        if let Some(file) = &files.gossip {
            let text = read_operator_file(file)?;
            let parsed = GossipConfig::read(&display(file), &text)?;
            let network = parsed.gossip_address(config.listen);
            network.map_err(|source| LoadConfigError::GossipNetwork { path: display(file), source })?;
            config.gossip = Some(parsed);
        }
        Ok(config)
    }

    /// Parses the text of the platform's configuration file; `variable` looks up an environment variable.
    ///
    /// # Errors
    /// If the text is not valid JSON, or a value is missing or invalid.
    pub fn read(text: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let json: Value = serde_json::from_slice(text)?;
        let source = Source { json: &json, variable };
        let admin = source.admin_address()?;
        let listen = source.address("listen", "EDGE_LISTEN")?;
        if admin == Some(listen) {
            return Err(ConfigError::AdminIsListen(listen));
        }
        let seed = source.seed()?;
        let max_descriptors = source.max_descriptors()?;
        let settings = json.get("settings").ok_or(ConfigError::Missing("settings"))?;
        let (settings, names) = settings::parse_settings(settings)?;
        let known_endpoints = source.known_endpoints(&names)?;
        Ok(Config {
            name: source.text("name", "EDGE_NAME")?,
            listen,
            discovery: source.address("discovery", "EDGE_DISCOVERY")?,
            admin,
            seed,
            max_descriptors,
            known_endpoints,
            settings,
            names,
            zone_failover: None,
            metrics: None,
            gossip: None,
        })
    }
}

fn display(path: &Path) -> String {
    path.display().to_string()
}

fn read_operator_file(path: &Path) -> Result<String, LoadConfigError> {
    fs::read_to_string(path).map_err(|source| LoadConfigError::Read { path: display(path), source })
}

/// The platform's configuration file, and the lookup of the environment variables that override it.
struct Source<'a, V> {
    json: &'a Value,
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> Source<'_, V> {
    fn text(&self, key: &'static str, variable: &'static str) -> Result<String, ConfigError> {
        let text = (self.variable)(variable).or_else(|| self.json.get(key)?.as_str().map(str::to_owned));
        text.ok_or(ConfigError::NotGiven { key, variable })
    }

    fn address(&self, key: &'static str, variable: &'static str) -> Result<SocketAddr, ConfigError> {
        let value = self.text(key, variable)?;
        parse_socket_address(&value).ok_or(ConfigError::NotAnAddress { key, value })
    }

    fn admin_address(&self) -> Result<Option<SocketAddr>, ConfigError> {
        const KEY: &str = "admin_addr";
        let not_an_address = |value| ConfigError::NotAnAddress { key: KEY, value };
        let in_file = self.json.get(KEY);
        let text = (self.variable)("EDGE_ADMIN_ADDR").or_else(|| Some(in_file?.as_str()?.to_owned()));
        match (text, in_file) {
            (Some(text), _) => parse_socket_address(&text).map(Some).ok_or_else(|| not_an_address(text)),
            (None, None | Some(Value::Null)) => Ok(None),
            (None, Some(other)) => Err(not_an_address(other.to_string())),
        }
    }

    fn seed(&self) -> Result<u64, ConfigError> {
        let seed = self.json.get("seed").and_then(Value::as_str).ok_or(ConfigError::Missing("seed"))?;
        u64::from_str_radix(seed, 16).map_err(|_| ConfigError::SeedNotHex(seed.to_owned()))
    }

    fn max_descriptors(&self) -> Result<usize, ConfigError> {
        let limit = match self.json.pointer("/limits/sockets") {
            None | Some(Value::Null) => DEFAULT_MAX_DESCRIPTORS,
            Some(value) => value.as_u64().ok_or(ConfigError::DescriptorLimitNotWhole)?,
        };
        Ok(usize::try_from(limit).unwrap_or(usize::MAX))
    }

    fn known_endpoints(&self, names: &NameTable) -> Result<Option<EndpointListUpdate>, ConfigError> {
        let list = self.json.get("known").filter(|value| !value.is_null());
        let parsed = list.map(|value| parse_endpoint_list(value, names)).transpose();
        parsed.map_err(|error| ConfigError::KnownEndpoints(error.into()))
    }
}
