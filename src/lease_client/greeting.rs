//! The first message of each side of a connection. The order of variants and fields is the wire format.

use honeyknot_lease::LeaseParameters;
use honeyknot_lease_consensus::ReplicaId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::config::LeaseConfig;
use honeyknot_balancer::Micros;

/// The greeting of the dialing side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Kind and identity of the dialing side.
    pub sender: GreetingSender,
    /// Name of the fleet.
    pub fleet: String,
    /// Number of lease servers in the fleet.
    pub server_count: u64,
    /// Lease parameters of the fleet.
    pub parameters: GreetingParameters,
}

/// The sender of a greeting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GreetingSender {
    /// A lease server: its number and the id of its database.
    LeaseServer(ReplicaId, u64),
    /// A relay or an operator, by name.
    Client(String),
}

/// Lease parameters on which both sides must agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GreetingParameters {
    /// Lease duration in microseconds.
    pub lease_duration: Micros,
    /// Bound on clock drift in parts per million.
    pub drift_ppm: u64,
    /// Time at the end of each lease that its holder leaves unused, in microseconds.
    pub margin: Micros,
}

impl From<&LeaseParameters> for GreetingParameters {
    fn from(parameters: &LeaseParameters) -> GreetingParameters {
        let LeaseParameters { lease_duration, drift_ppm, margin, .. } = *parameters;
        GreetingParameters { lease_duration, drift_ppm, margin }
    }
}

impl std::fmt::Display for GreetingParameters {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (lease_ms, margin_ms) = (self.lease_duration / 1_000, self.margin / 1_000);
        write!(formatter, "lease {lease_ms} ms, drift {} ppm, margin {margin_ms} ms", self.drift_ppm)
    }
}

/// Why a lease server rejects a greeting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum GreetingMismatch {
    /// The two sides belong to different fleets.
    #[error("the greeting is of fleet `{theirs}`; this lease server is of fleet `{ours}`")]
    Fleet {
        /// The other side's fleet.
        theirs: String,
        /// The local fleet.
        ours: String,
    },
    /// The two sides are configured with different numbers of lease servers.
    #[error("the greeting is of a fleet of {theirs} lease servers; this lease server's fleet has {ours}")]
    ServerCount {
        /// The other side's number.
        theirs: u64,
        /// The local number.
        ours: u64,
    },
    /// The two sides use different lease parameters.
    #[error("the greeting has {theirs}; this lease server has {ours}")]
    Parameters {
        /// The other side's parameters.
        theirs: GreetingParameters,
        /// The local parameters.
        ours: GreetingParameters,
    },
}

impl Greeting {
    /// Creates the greeting of a sender with this configuration.
    pub fn new(sender: GreetingSender, config: &LeaseConfig) -> Greeting {
        Greeting {
            sender,
            fleet: config.fleet.clone(),
            server_count: config.server_count(),
            parameters: (&config.parameters).into(),
        }
    }

    /// Checks that another greeting is of the same fleet, with the same number of servers and the same
    /// parameters.
    ///
    /// # Errors
    /// The first difference.
    pub fn check(&self, other: &Greeting) -> Result<(), GreetingMismatch> {
        if self.fleet != other.fleet {
            let (theirs, ours) = (other.fleet.clone(), self.fleet.clone());
            return Err(GreetingMismatch::Fleet { theirs, ours });
        }
        if self.server_count != other.server_count {
            let (theirs, ours) = (other.server_count, self.server_count);
            return Err(GreetingMismatch::ServerCount { theirs, ours });
        }
        if self.parameters != other.parameters {
            let (theirs, ours) = (other.parameters, self.parameters);
            return Err(GreetingMismatch::Parameters { theirs, ours });
        }
        Ok(())
    }
}
