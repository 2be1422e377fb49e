//! What the operators say about the neighbourhood: the file `neighbors.conf`, and its checks.

use std::cell::RefCell;
use std::net::SocketAddr;

use honeyknot_operator_config::{Faults, Section, parse, units};

/// The operators' settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The fleet's name: relays of one do not hear those of another.
    pub fleet: String,
    /// The port for datagrams, on the address at which clients connect.
    pub port: u16,
    /// Relays that are called at a start; one that lives is enough.
    pub seeds: Vec<SocketAddr>,
    /// Witnesses of a card server.
    pub witnesses: usize,
    /// Addresses beyond loopback are allowed.
    pub plain: bool,
}

impl Plan {
    /// Reads a file's text; `file` is only named in faults. All faults come at once.
    pub fn read(file: &str, text: &str) -> Result<Plan, Faults> {
        let tree = parse(file, text)?;
        let faults = RefCell::default();
        let plan = Plan::from_section(Section::file(file, &tree, &faults));
        Section::faults(faults).map(|()| plan)
    }

    fn from_section(mut top: Section) -> Plan {
        let fleet = top.required("fleet", units::text()).unwrap_or_default();
        let port = top.required("port", units::number(1_024..=65_535)).unwrap_or(1_024) as u16;
        let witnesses = top.value("witnesses", units::number(1..=9)).unwrap_or(3) as usize;
        let plain = top.bare("plain-network");
        let mut seeds = Vec::new();
        let directives = top.each("seed");
        for directive in &directives {
            top.no_block(directive);
            let [address] = &directive.words[..] else {
                top.fault(&directive.name, "`seed` takes one address".into());
                continue;
            };
            let read: Option<SocketAddr> = top.word("seed", address, units::address());
            match read {
                Some(at) if !at.ip().is_loopback() && !plain => {
                    let what = "is not a loopback address: what relays say is neither secret nor signed; \
                        `plain-network` allows it on a network that is trusted";
                    top.fault(address, format!("`{at}` {what}"));
                }
                Some(at) if seeds.contains(&at) => top.fault(address, format!("`seed {at}` is given again")),
                at => seeds.extend(at),
            }
        }
        if directives.is_empty() {
            top.required("seed", units::text());
        }
        top.finish();
        Plan { fleet, port, seeds, witnesses, plain }
    }

    /// Whether a relay may listen there.
    pub fn check_listen(&self, listen: SocketAddr) -> Result<SocketAddr, NotTrusted> {
        let at = SocketAddr::new(listen.ip(), self.port);
        if at.ip().is_loopback() || self.plain { Ok(at) } else { Err(NotTrusted(at)) }
    }
}

/// A relay would speak to its neighbours on a network that the file does not call trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "neighbours would be heard at {0}, which is not a loopback address: write `plain-network` into the file if the network \
     is trusted, or leave the file away"
)]
pub struct NotTrusted(SocketAddr);
