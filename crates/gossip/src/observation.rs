//! The observation of an endpoint that a member publishes.

use serde::{Deserialize, Serialize};

/// How a health check ended. The order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HealthCheckOutcome {
    /// The endpoint answered with a load report.
    Healthy,
    /// The endpoint answered with an error.
    Failing,
    /// The endpoint did not answer, or refused the connection.
    Unresponsive,
}

/// The last health check that a member made of an endpoint. The order of the fields is part of the wire
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthObservation {
    /// Number of the endpoint, as [`endpoint_number`](crate::endpoint_number) returns it.
    pub endpoint: u32,
    /// How the health check ended.
    pub outcome: HealthCheckOutcome,
    /// Reported load over capacity, in percent and at most 255; `None` if no load was reported.
    pub load_percent: Option<u8>,
    /// Reported message latency, in milliseconds; `None` if no latency was reported.
    pub latency_ms: Option<u16>,
    /// Age of the observation when it was published, in milliseconds.
    pub age_ms: u16,
}
