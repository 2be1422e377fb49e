//! Arguments of the sub-commands that run one environment on loopback.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, ValueEnum};
use honeyknot_testbed::emulators::environment::EnvironmentSize;
use honeyknot_testbed::scenarios::run::ScenarioRun;
use honeyknot_testbed::scenarios::scenario::Scenario;
use honeyknot_zone_failover::ZoneFailoverConfig;

/// The operator file for the default environment: 16 endpoints of 4 zones.
const DEFAULT_SITES_FILE: &str = include_str!("../../sites.conf");
/// The zones of the environment, as `sites.conf` names them.
const ZONES: [&str; 4] = ["accra-north", "accra-east", "tema", "kasoa"];
/// The most new clients a second.
const MAX_CLIENTS_PER_SECOND: f64 = 10_000.0;
/// How long a client wants its connection on average, in seconds.
const MEAN_CONNECTION_S: f64 = 35.0;
/// Connections that share an affinity group on average.
const CONNECTIONS_PER_AFFINITY_GROUP: f64 = 45.0;
/// The fewest affinity groups of an environment.
const MIN_AFFINITY_GROUPS: u64 = 2;

#[derive(Debug, Args)]
pub(crate) struct EnvironmentArgs {
    /// Seeds the environment, the clients and the relays.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Whether relays run with the part for losing and regaining zones.
    #[arg(long = "sites", value_name = "SITES", value_enum, default_value = "on")]
    zone_failover: Switch,
    /// The operator file for that part; without it, one that fits the environment.
    #[arg(long = "plan", value_name = "FILE")]
    pub(crate) sites_file: Option<PathBuf>,
    /// Relays in all.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=250))]
    pub(crate) relays: u16,
    /// Endpoints in all.
    #[arg(long = "servers", value_name = "SERVERS", default_value_t = 16, value_parser = clap::value_parser!(u16).range(4..=10_000))]
    pub(crate) endpoints: u16,
    /// New clients a second in all.
    #[arg(long = "rate", value_name = "RATE", default_value_t = 5.5)]
    clients_per_second: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Switch {
    On,
    Off,
}

/// An operator file for zones: its path and its text.
struct SitesFile {
    path: PathBuf,
    text: String,
}

impl EnvironmentArgs {
    /// Returns the scenario run that these arguments ask for; `folder` takes the default operator file.
    ///
    /// # Errors
    /// A value is out of range, or the operator file cannot be read or has faults.
    pub(crate) fn scenario_run(&self, scenario: Scenario, folder: &Path) -> Result<ScenarioRun, String> {
        let zones: Vec<String> = ZONES.map(str::to_owned).to_vec();
        let clients_per_second = self.clients_per_second;
        if !(clients_per_second > 0.0 && clients_per_second <= MAX_CLIENTS_PER_SECOND) {
            return Err(format!(
                "--rate {clients_per_second}: allowed is above 0 and up to {MAX_CLIENTS_PER_SECOND}"
            ));
        }
        let file = self.read_sites_file(folder)?;
        let config = ZoneFailoverConfig::read(&file.path.display().to_string(), &file.text, &zones)
            .map_err(|errors| errors.to_string())?;
        let groups = (clients_per_second * MEAN_CONNECTION_S / CONNECTIONS_PER_AFFINITY_GROUP) as u64;
        Ok(ScenarioRun {
            size: EnvironmentSize {
                zones,
                endpoints: usize::from(self.endpoints),
                relays: usize::from(self.relays),
                clients_per_second,
                mean_connection_s: MEAN_CONNECTION_S,
                affinity_groups: groups.max(MIN_AFFINITY_GROUPS),
            },
            scenario,
            seed: self.seed,
            sites_file: (self.zone_failover == Switch::On).then_some(file.path),
            spill_limit: config.spill_limit,
            max_duration: None,
            log_folder: None,
        })
    }

    /// Reads the operator file that was named, or writes the default one to `folder`.
    fn read_sites_file(&self, folder: &Path) -> Result<SitesFile, String> {
        if let Some(path) = &self.sites_file {
            let text =
                std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
            return Ok(SitesFile { path: path.clone(), text });
        }
        let path = folder.join("sites.conf");
        std::fs::write(&path, DEFAULT_SITES_FILE).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(SitesFile { path, text: DEFAULT_SITES_FILE.to_owned() })
    }
}

/// Parses a duration such as `20s`, `500ms` or `2m`.
///
/// # Errors
/// The text has no number, no unit or an unknown one, or is out of range.
pub(crate) fn parse_duration(text: &str) -> Result<Duration, String> {
    let unit = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
    let factor = match &text[unit..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        _ => return Err("a span has a unit: 20s, 500ms or 2m".into()),
    };
    let number = text[..unit].parse::<f64>().map_err(|_| "a span is a number with its unit, such as 20s")?;
    Duration::try_from_secs_f64(number * factor).map_err(|error| error.to_string())
}
