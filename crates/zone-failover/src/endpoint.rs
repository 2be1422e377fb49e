//! Record of what is known of an endpoint.

use honeyknot_balancer::{Micros, ZoneId};

/// Number of consecutive failures from which an endpoint is considered unresponsive.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// Age from which a load report is ignored, in microseconds.
const MAX_REPORT_AGE: Micros = 8_000_000;

/// What an attempt or a health check shows about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSignal {
    /// The endpoint responded.
    Responsive,
    /// The endpoint did not respond.
    Unresponsive,
}

/// A load report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSample {
    /// Load as a share of capacity.
    pub(crate) load: f64,
    pub(crate) reported_at: Micros,
}

/// A listed endpoint.
#[derive(Debug)]
pub(crate) struct EndpointRecord {
    pub(crate) zone: ZoneId,
    pub(crate) weight: f64,
    /// When the endpoint started; 0 if unknown.
    pub(crate) started_at: Micros,
    /// Whether the endpoint is listed as ready.
    pub(crate) ready: bool,
    pub(crate) consecutive_failures: u32,
    /// When the endpoint last responded; 0 if it never did.
    pub(crate) last_responded_at: Micros,
    /// The last load report; `None` if there has been none.
    pub(crate) load: Option<LoadSample>,
    pub(crate) health_check_requested_at: Micros,
}

impl EndpointRecord {
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    pub(crate) fn record_signal(&mut self, now: Micros, signal: EndpointSignal) {
        match signal {
            EndpointSignal::Responsive => {
                self.consecutive_failures = 0;
                self.last_responded_at = now;
            }
            EndpointSignal::Unresponsive => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
            }
        }
    }

    /// Returns the last reported load; `None` if there is no report or it is too old.
    pub(crate) fn recent_load(&self, now: Micros) -> Option<f64> {
        self.load.filter(|sample| now < sample.reported_at + MAX_REPORT_AGE).map(|sample| sample.load)
    }
}
