//! Lease scenarios with real processes: lease servers, lease holders and a recording server that receives the
//! effects of the holders' operations, with faults between any two of them.
//!
//! The verdict rests on the recording server: it records each effect of an operation by its own clock, and
//! for half of the tasks it checks fencing tokens. A holder is a process of the testbed that runs the relay's
//! lease client. A lease server is the program `honeyknot-relay`, or its code in a process of the testbed if
//! a clock error or a fault is injected into it.

pub mod holder;
pub mod lease_server;
pub mod recording_server;
pub mod report;
pub mod run;

use std::fmt::Write;

use honeyknot_lease::InjectedFault;
use honeyknot_relay::lease_client::config;

use crate::fleet::{Link, Plan};

/// Parses the name of a fault to inject.
///
/// # Errors
///
/// A message that lists all names.
pub fn parse_fault(name: &str) -> Result<InjectedFault, String> {
    serde_json::from_value(name.into()).map_err(|error| error.to_string())
}

impl Plan {
    /// Returns the lease configuration of one process, which reaches each lease server at the address that
    /// `address_of` returns.
    pub fn lease_config_text(&self, address_of: impl Fn(usize) -> std::net::SocketAddr) -> String {
        let options = &self.leases;
        let mut text = format!(
            "fleet lab\nlease {0}ms\nelection {1}ms\nmargin {2}ms\nclock-drift {3}%\n",
            options.lease_ms,
            options.lease_ms / 5,
            options.margin_ms,
            options.clock_drift_ppm as f64 / 1e4,
        );
        for number in 1..=options.servers {
            let _ = writeln!(text, "keeper {number} {}", address_of(number));
        }
        text
    }

    /// Returns the lease configuration of the lease server with the number `me`.
    pub fn lease_server_config(&self, me: usize) -> String {
        let has_peer_links = self.has_links("peer");
        self.lease_config_text(|to| {
            if has_peer_links && to != me {
                self.link_addresses(Link::LeasePeer(me, to)).0
            } else {
                self.lease_server_address(to)
            }
        })
    }

    /// Returns the lease configuration of the holder with this index.
    pub fn lease_holder_config(&self, holder: usize) -> String {
        let has_client_links = self.has_links("ask");
        self.lease_config_text(|to| {
            if has_client_links {
                self.link_addresses(Link::LeaseClient(holder, to)).0
            } else {
                self.lease_server_address(to)
            }
        })
    }

    /// Returns the address of the recording server.
    pub fn recording_server_address(&self) -> std::net::SocketAddr {
        self.address(168, 0, 7500)
    }

    /// Parses a lease configuration and adds the plan's injected fault.
    ///
    /// # Errors
    ///
    /// The errors of the configuration.
    pub fn parse_lease_config(&self, text: &str) -> Result<config::LeaseConfig, String> {
        let mut config =
            config::LeaseConfig::read("leases.conf", text).map_err(|errors| errors.to_string())?;
        config.parameters.injected_fault = self.leases.injected_fault;
        Ok(config)
    }
}
