//! Arguments shared by the sub-commands that run an environment on loopback.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, ValueEnum};
use honeyknot_testbed::emulators::environment::EnvironmentSize;
use honeyknot_testbed::scenarios::run::ScenarioRun;
use honeyknot_testbed::scenarios::scenario::Scenario;
use honeyknot_zone_failover::ZoneFailoverConfig;

/// The `sites.conf` operator file for the default environment of 16 endpoints in 4 zones.
const DEFAULT_SITES_FILE: &str = include_str!("../../sites.conf");
/// Names of the environment's zones, as in `sites.conf`.
const ZONES: [&str; 4] = ["accra-north", "accra-east", "tema", "kasoa"];
/// Maximum rate of new clients per second.
const MAX_CLIENTS_PER_SECOND: f64 = 10_000.0;
/// Mean time for which a client wants its connection, in seconds.
const MEAN_CONNECTION_S: f64 = 35.0;
/// Mean number of connections per affinity group.
const CONNECTIONS_PER_AFFINITY_GROUP: f64 = 45.0;
/// Minimum number of affinity groups.
const MIN_AFFINITY_GROUPS: u64 = 2;

#[derive(Debug, Args)]
pub(crate) struct EnvironmentArgs {
    /// Random seed of the environment, the clients and the relays.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Whether the relays run with zone failover.
    #[arg(long = "sites", value_name = "SITES", value_enum, default_value = "on")]
    zone_failover: Switch,
    /// The sites.conf operator file for zone failover; default: one that fits the environment.
    #[arg(long = "plan", value_name = "FILE")]
    pub(crate) sites_file: Option<PathBuf>,
    /// Number of relays in all zones.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=250))]
    pub(crate) relays: u16,
    /// Number of endpoints in all zones.
    #[arg(long = "servers", value_name = "SERVERS", default_value_t = 16, value_parser = clap::value_parser!(u16).range(4..=10_000))]
    pub(crate) endpoints: u16,
    /// New clients per second in all zones.
    #[arg(long = "rate", value_name = "RATE", default_value_t = 5.5)]
    clients_per_second: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Switch {
    On,
    Off,
}

/// A `sites.conf` operator file: its path and its content.
struct SitesFile {
    path: PathBuf,
    text: String,
}

impl EnvironmentArgs {
    /// Returns the scenario run for these arguments. The default operator file is written to `folder`.
    ///
    /// # Errors
    /// Returns a message if a value is out of range, or the operator file cannot be read or is invalid.
    pub(crate) fn scenario_run(&self, scenario: Scenario, folder: &Path) -> Result<ScenarioRun, String> {
        let zones: Vec<String> = ZONES.map(str::to_owned).to_vec();
        let clients_per_second = self.clients_per_second;
        if !(clients_per_second > 0.0 && clients_per_second <= MAX_CLIENTS_PER_SECOND) {
            return Err(format!(
                "--rate {clients_per_second}: must be above 0 and at most {MAX_CLIENTS_PER_SECOND}"
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

    /// Reads the operator file given by `--plan`, or writes the default one to `folder`.
    fn read_sites_file(&self, folder: &Path) -> Result<SitesFile, String> {
        if let Some(path) = &self.sites_file {
            let text = std::fs::read_to_string(path)
                .map_err(|error| format!("cannot read --plan {}: {error}", path.display()))?;
            return Ok(SitesFile { path: path.clone(), text });
        }
        let path = folder.join("sites.conf");
        std::fs::write(&path, DEFAULT_SITES_FILE)
            .map_err(|error| format!("cannot write {}: {error}", path.display()))?;
        Ok(SitesFile { path, text: DEFAULT_SITES_FILE.to_owned() })
    }
}

/// Parses a duration such as `20s`, `500ms` or `2m`.
///
/// # Errors
/// Returns a message if the text has no number or no known unit, or the duration is out of range.
pub(crate) fn parse_duration(text: &str) -> Result<Duration, String> {
    let unit = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
    let factor = match &text[unit..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        _ => return Err("expected a duration with a unit: ms, s or m, such as 20s, 500ms or 2m".into()),
    };
    let number =
        text[..unit].parse::<f64>().map_err(|_| "expected a number followed by a unit, such as 20s")?;
    Duration::try_from_secs_f64(number * factor).map_err(|error| error.to_string())
}
