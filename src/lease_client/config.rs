//! What the operators say about leases: the file `leases.conf`, and its checks.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use honeyknot_lease::LeaseParameters;
use honeyknot_operator_config::{Faults, Section, parse, units};

use honeyknot_balancer::Micros;

/// The operators' settings for keepers and their clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// The fleet's name: keepers of one do not talk to those of another.
    pub fleet: String,
    /// Where each keeper listens, from number 1 on without a gap.
    pub servers: BTreeMap<u64, SocketAddr>,
    /// The terms of all leases.
    pub parameters: LeaseParameters,
    /// How long keepers that hear no leader wait before they elect another.
    pub election_timeout: Micros,
}

/// What a keeper may be one of.
const NUMBERS: [usize; 4] = [1, 3, 5, 7];

impl LeaseConfig {
    /// Reads the file of this name.
    pub fn load(path: &str) -> Result<LeaseConfig, String> {
        let text = std::fs::read_to_string(path).map_err(|why| format!("{path}: {why}"))?;
        LeaseConfig::read(path, &text).map_err(|faults| faults.to_string())
    }

    /// Reads a file's text; `file` is only named in faults. All faults come at once.
    pub fn read(file: &str, text: &str) -> Result<LeaseConfig, Faults> {
        let tree = parse(file, text)?;
        let faults = RefCell::default();
        let plan = LeaseConfig::from_section(Section::file(file, &tree, &faults));
        Section::faults(faults).map(|()| plan)
    }

    fn from_section(mut top: Section) -> LeaseConfig {
        let span =
            |least_ms, most_s| units::micros(Duration::from_millis(least_ms)..=Duration::from_secs(most_s));
        let fleet = top.required("fleet", units::text()).unwrap_or_default();
        let lease = top.value("lease", span(500, 3_600)).unwrap_or(10_000_000);
        let mut parameters = LeaseParameters::new(lease);
        if let Some(drift) = top.value("clock-drift", units::share(0.0..=0.1)) {
            parameters.drift_ppm = (drift * 1e6).round() as u64;
        }
        if let Some(margin) = top.value("margin", span(0, 3_600)) {
            parameters.margin = margin;
        }
        let election = top.value("election", span(100, 60)).unwrap_or(1_000_000);
        let plain = top.bare("plain-network");
        let mut keepers = BTreeMap::new();
        let directives = top.each("keeper");
        for directive in &directives {
            top.no_block(directive);
            let [number, address] = &directive.words[..] else {
                top.fault(&directive.name, "`keeper` takes a number and an address".into());
                continue;
            };
            let number = top.word("keeper", number, units::number(1..=7));
            let address = top.word("keeper", address, units::address()).filter(|at: &SocketAddr| {
                let allowed = at.ip().is_loopback() || plain;
                if !allowed {
                    let what = "is not a loopback address: what keepers say is neither secret nor signed; \
                        `plain-network` allows it on a network that is trusted";
                    top.fault(&directive.words[1], format!("`{at}` {what}"));
                }
                allowed
            });
            if let (Some(number), Some(address)) = (number, address)
                && keepers.insert(number, address).is_some()
            {
                top.fault(&directive.words[0], format!("`keeper {number}` is given again"));
            }
        }
        let gap = (1..=keepers.len() as u64).find(|number| !keepers.contains_key(number));
        if let (Some(directive), true) =
            (directives.first(), !NUMBERS.contains(&directives.len()) || gap.is_some())
        {
            let what = format!("there are 1, 3, 5 or 7 keepers, numbered from 1, not {}", directives.len());
            top.fault(&directive.name, what);
        }
        if directives.is_empty() {
            top.required("keeper", units::text());
        }
        // What a holder may use of a lease, and what an election takes of it.
        let used = parameters.usable();
        if used < lease / 2
            && let Some(directive) = top.only("margin").or_else(|| top.only("clock-drift"))
        {
            top.fault(&directive.name, "margin and drift leave less than half of the lease".into());
        }
        if election > lease / 3
            && let Some(directive) = top.only("election").or_else(|| top.only("lease"))
        {
            top.fault(
                &directive.name,
                "`election` is longer than a third of `lease`: a change of leader loses leases".into(),
            );
        }
        top.finish();
        LeaseConfig { fleet, servers: keepers, parameters, election_timeout: election }
    }
}
