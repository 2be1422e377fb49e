//! The configuration of lease servers and clients: the file `leases.conf` and its checks.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use honeyknot_lease::LeaseParameters;
use honeyknot_lease_consensus::ReplicaId;
use honeyknot_operator_config::{ConfigErrors, Section, parse, units};
use thiserror::Error;

use honeyknot_balancer::Micros;

/// Lease duration in microseconds if `lease` is not given.
const DEFAULT_LEASE_DURATION: Micros = 10_000_000;
/// Election timeout in microseconds if `election` is not given.
const DEFAULT_ELECTION_TIMEOUT: Micros = 1_000_000;
/// Allowed numbers of lease servers in a fleet.
const ALLOWED_SERVER_COUNTS: [usize; 4] = [1, 3, 5, 7];
const SERVER_IDS: RangeInclusive<u64> = 1..=7;

/// The configuration of a fleet's lease servers and their clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// Name of the fleet. Lease servers reject connections from other fleets.
    pub fleet: String,
    /// Address of each lease server by its number. Numbers start at 1 and have no gap.
    pub servers: BTreeMap<ReplicaId, SocketAddr>,
    /// Parameters of all leases.
    pub parameters: LeaseParameters,
    /// How long a server waits without a heartbeat of the leader before it starts an election, in
    /// microseconds.
    pub election_timeout: Micros,
}

/// Why a configuration file cannot be used.
#[derive(Debug, Error)]
pub enum LeaseConfigError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file has errors.
    #[error(transparent)]
    Invalid(#[from] ConfigErrors),
}

impl LeaseConfig {
    /// Reads a configuration file.
    ///
    /// # Errors
    /// The file cannot be read or has errors. All errors of the file are returned together.
    pub fn load(path: &str) -> Result<LeaseConfig, LeaseConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| LeaseConfigError::Read { path: path.to_owned(), source })?;
        Ok(LeaseConfig::read(path, &text)?)
    }

    /// Parses the text of a configuration file; `file` is its name in error messages.
    ///
    /// # Errors
    /// All errors of the text.
    pub fn read(file: &str, text: &str) -> Result<LeaseConfig, ConfigErrors> {
        let tree = parse(file, text)?;
        let errors = RefCell::default();
        let config = LeaseConfig::from_section(Section::file(file, &tree, &errors));
        Section::into_result(errors).map(|()| config)
    }

    /// Returns the number of lease servers.
    pub fn server_count(&self) -> u64 {
        self.servers.len() as u64
    }

    fn from_section(mut section: Section) -> LeaseConfig {
        let fleet = section.required("fleet", units::text()).unwrap_or_default();
        let parameters = read_parameters(&mut section);
        let election_timeout =
            section.value("election", duration_units(100, 60)).unwrap_or(DEFAULT_ELECTION_TIMEOUT);
        let plain_network = section.flag("plain-network");
        let servers = read_servers(&mut section, plain_network);
        check_durations(&mut section, &parameters, election_timeout);
        section.finish();
        LeaseConfig { fleet, servers, parameters, election_timeout }
    }
}

fn duration_units(min_ms: u64, max_s: u64) -> impl Fn(&str) -> Result<Micros, String> {
    units::micros(Duration::from_millis(min_ms)..=Duration::from_secs(max_s))
}

fn read_parameters(section: &mut Section) -> LeaseParameters {
    let lease_duration = section.value("lease", duration_units(500, 3_600)).unwrap_or(DEFAULT_LEASE_DURATION);
    let mut parameters = LeaseParameters::new(lease_duration);
    if let Some(drift) = section.value("clock-drift", units::percentage(0.0..=0.1)) {
        parameters.drift_ppm = (drift * 1e6).round() as u64;
    }
    if let Some(margin) = section.value("margin", duration_units(0, 3_600)) {
        parameters.margin = margin;
    }
    parameters
}

fn read_servers(section: &mut Section, plain_network: bool) -> BTreeMap<ReplicaId, SocketAddr> {
    let mut servers = BTreeMap::new();
    let directives = section.directives("keeper");
    for directive in &directives {
        section.reject_block(directive);
        let [number, address] = &directive.words[..] else {
            section.error(&directive.name, "`keeper` takes a number and an address".into());
            continue;
        };
        let number = section.parse_word("keeper", number, units::number(SERVER_IDS));
        let address = section.parse_word("keeper", address, units::address()).filter(|address: &SocketAddr| {
            let allowed = address.ip().is_loopback() || plain_network;
            if !allowed {
                let problem = "is not a loopback address: traffic of lease servers is neither encrypted nor \
                    authenticated; `plain-network` allows other addresses on a trusted network";
                section.error(&directive.words[1], format!("`{address}` {problem}"));
            }
            allowed
        });
        if let (Some(number), Some(address)) = (number, address)
            && servers.insert(number, address).is_some()
        {
            section.error(&directive.words[0], format!("`keeper {number}` is given more than once"));
        }
    }
    let has_gap = (1..=servers.len() as u64).any(|number| !servers.contains_key(&number));
    if let Some(directive) = directives.first()
        && (!ALLOWED_SERVER_COUNTS.contains(&directives.len()) || has_gap)
    {
        let problem = format!(
            "expected 1, 3, 5 or 7 `keeper` directives, numbered from 1 without a gap; found {}",
            directives.len()
        );
        section.error(&directive.name, problem);
    }
    if directives.is_empty() {
        section.required("keeper", units::text());
    }
    servers
}

/// Checks that holders can use at least half of a lease, and that an election does not outlast a lease.
fn check_durations(section: &mut Section, parameters: &LeaseParameters, election_timeout: Micros) {
    let lease_duration = parameters.lease_duration;
    if parameters.usable_duration() < lease_duration / 2
        && let Some(directive) = section.single("margin").or_else(|| section.single("clock-drift"))
    {
        section.error(
            &directive.name,
            "`margin` and `clock-drift` leave less than half of the lease usable".into(),
        );
    }
    if election_timeout > lease_duration / 3
        && let Some(directive) = section.single("election").or_else(|| section.single("lease"))
    {
        let problem =
            "`election` is longer than a third of `lease`: holders lose leases when the leader changes";
        section.error(&directive.name, problem.into());
    }
}
