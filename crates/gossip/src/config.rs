//! Gossip's configuration: the operators' file `neighbors.conf` and its checks.

use std::cell::RefCell;
use std::net::SocketAddr;

use honeyknot_operator_config::{ConfigErrors, Section, parse, units};

/// Configuration of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipConfig {
    /// Name of the fleet. Members drop datagrams of other fleets.
    pub fleet: String,
    /// UDP port, at the address at which clients connect.
    pub port: u16,
    /// Members to which a new member announces itself; one that is alive is enough.
    pub seeds: Vec<SocketAddr>,
    /// Number of members that check each endpoint's health for all.
    pub probers_per_endpoint: usize,
    /// Whether addresses beyond loopback are allowed.
    pub plain_network: bool,
}

impl GossipConfig {
    /// Reads the text of an operator file; `file` is its name in errors.
    ///
    /// # Errors
    /// All faults of the file at once.
    pub fn read(file: &str, text: &str) -> Result<GossipConfig, ConfigErrors> {
        let tree = parse(file, text)?;
        let faults = RefCell::default();
        let config = GossipConfig::from_section(Section::file(file, &tree, &faults));
        Section::into_result(faults).map(|()| config)
    }

    fn from_section(mut top: Section) -> GossipConfig {
        let fleet = top.required("fleet", units::text()).unwrap_or_default();
        let port = top.required("port", units::number(1_024..=65_535)).unwrap_or(1_024) as u16;
        let probers_per_endpoint = top.value("witnesses", units::number(1..=9)).unwrap_or(3) as usize;
        let plain_network = top.flag("plain-network");
        let seeds = parse_seeds(&mut top, plain_network);
        top.finish();
        GossipConfig { fleet, port, seeds, probers_per_endpoint, plain_network }
    }

    /// Returns the address at which a relay that listens for clients at `listen` receives datagrams.
    ///
    /// # Errors
    /// If the address is not a loopback address and the file does not declare the network as trusted.
    pub fn gossip_address(&self, listen: SocketAddr) -> Result<SocketAddr, NetworkNotTrusted> {
        let address = SocketAddr::new(listen.ip(), self.port);
        if address.ip().is_loopback() || self.plain_network {
            Ok(address)
        } else {
            Err(NetworkNotTrusted(address))
        }
    }
}

/// Parses the `seed` directives.
fn parse_seeds(top: &mut Section, plain_network: bool) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    let directives = top.directives("seed");
    for directive in &directives {
        top.reject_block(directive);
        let [address] = &directive.words[..] else {
            top.error(&directive.name, "`seed` takes one address".into());
            continue;
        };
        let parsed: Option<SocketAddr> = top.parse_word("seed", address, units::address());
        match parsed {
            Some(seed) if !seed.ip().is_loopback() && !plain_network => {
                let reason = "is not a loopback address: what relays say is neither secret nor signed; \
                    `plain-network` allows it on a network that is trusted";
                top.error(address, format!("`{seed}` {reason}"));
            }
            Some(seed) if seeds.contains(&seed) => {
                top.error(address, format!("`seed {seed}` is given again"))
            }
            seed => seeds.extend(seed),
        }
    }
    if directives.is_empty() {
        top.required("seed", units::text());
    }
    seeds
}

/// The relay would send gossip over a network that the file does not declare as trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "neighbours would be heard at {0}, which is not a loopback address: write `plain-network` into the file if the network \
     is trusted, or leave the file away"
)]
pub struct NetworkNotTrusted(SocketAddr);
