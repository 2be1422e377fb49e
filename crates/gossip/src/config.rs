//! Configuration of gossip, from the operator file `neighbors.conf`.

use std::cell::RefCell;
use std::net::SocketAddr;

use honeyknot_operator_config::{ConfigErrors, Section, parse, units};

/// Gossip configuration of one relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipConfig {
    /// Name of the fleet. Datagrams from members of other fleets are dropped.
    pub fleet: String,
    /// UDP port for datagrams, at the same IP address on which the relay accepts clients.
    pub port: u16,
    /// Addresses of members to which this one announces itself; one reachable seed is enough to join.
    pub seeds: Vec<SocketAddr>,
    /// Number of members that check the health of each endpoint on behalf of all.
    pub probers_per_endpoint: usize,
    /// Whether addresses other than loopback are allowed, although datagrams are neither encrypted nor
    /// signed.
    pub plain_network: bool,
}

impl GossipConfig {
    /// Reads the text of an operator file. `file` is the name that errors report.
    ///
    /// # Errors
    /// All errors of the file.
    pub fn read(file: &str, text: &str) -> Result<GossipConfig, ConfigErrors> {
        let tree = parse(file, text)?;
        let errors = RefCell::default();
        let config = GossipConfig::from_section(Section::file(file, &tree, &errors));
        Section::into_result(errors).map(|()| config)
    }

    fn from_section(mut section: Section) -> GossipConfig {
        let fleet = section.required("fleet", units::text()).unwrap_or_default();
        let port = section.required("port", units::number(1_024..=65_535)).unwrap_or(1_024) as u16;
        let probers_per_endpoint = section.value("witnesses", units::number(1..=9)).unwrap_or(3) as usize;
        let plain_network = section.flag("plain-network");
        let seeds = parse_seeds(&mut section, plain_network);
        section.finish();
        GossipConfig { fleet, port, seeds, probers_per_endpoint, plain_network }
    }

    /// Returns the UDP address on which a relay that accepts clients at `listen` receives datagrams.
    ///
    /// # Errors
    /// If the address is not a loopback address and the file lacks `plain-network`.
    pub fn gossip_address(&self, listen: SocketAddr) -> Result<SocketAddr, NetworkNotTrusted> {
        let address = SocketAddr::new(listen.ip(), self.port);
        if address.ip().is_loopback() || self.plain_network {
            Ok(address)
        } else {
            Err(NetworkNotTrusted(address))
        }
    }
}

/// Parses the `seed` directives, of which at least one is required.
fn parse_seeds(section: &mut Section, plain_network: bool) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    let directives = section.directives("seed");
    for directive in &directives {
        section.reject_block(directive);
        let [address] = &directive.words[..] else {
            section.error(&directive.name, "`seed` takes one address".into());
            continue;
        };
        let parsed: Option<SocketAddr> = section.parse_word("seed", address, units::address());
        match parsed {
            Some(seed) if !seed.ip().is_loopback() && !plain_network => {
                let reason = "is not a loopback address: what relays say is neither secret nor signed; \
                    `plain-network` allows it on a network that is trusted";
                section.error(address, format!("`{seed}` {reason}"));
            }
            Some(seed) if seeds.contains(&seed) => {
                section.error(address, format!("`seed {seed}` is given more than once"))
            }
            seed => seeds.extend(seed),
        }
    }
    if directives.is_empty() {
        section.required("seed", units::text());
    }
    seeds
}

/// The address for datagrams is not a loopback address, and the operator file does not declare the network as
/// trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "gossip would use {0}, which is not a loopback address, and gossip is neither encrypted nor signed: add \
     `plain-network` to the file if the network is trusted, or run without the file"
)]
pub struct NetworkNotTrusted(SocketAddr);
