//! What a member has observed of an endpoint.

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

/// The last health check that a member made of an endpoint. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthObservation {
    /// The endpoint's number; see [`endpoint_number`](crate::endpoint_number).
    pub endpoint: u32,
    /// How the health check ended.
    pub outcome: HealthCheckOutcome,
    /// Reported load over capacity, in hundredths; `None` without a report.
    pub load_percent: Option<u8>,
    /// Reported time that a message takes, in milliseconds; `None` without a report.
    pub latency_ms: Option<u16>,
    /// Age of the observation at the time of its publication, in milliseconds.
    pub age_ms: u16,
}
