//! What is known of one endpoint.

use honeyknot_balancer::{Micros, ZoneId};

/// Consecutive failures after which an endpoint counts as silent.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// Age from which on a load report is ignored, in microseconds.
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
    /// Load over capacity.
    pub(crate) load: f64,
    pub(crate) reported_at: Micros,
}

/// One listed endpoint.
#[derive(Debug)]
pub(crate) struct EndpointRecord {
    pub(crate) zone: ZoneId,
    pub(crate) weight: f64,
    pub(crate) started_at: Micros,
    /// It is listed as ready.
    pub(crate) ready: bool,
    pub(crate) consecutive_failures: u32,
    /// When it last responded; 0 if it never did.
    pub(crate) last_alive_at: Micros,
    pub(crate) load: Option<LoadSample>,
    pub(crate) health_check_requested_at: Micros,
}

impl EndpointRecord {
    pub(crate) fn is_silent(&self) -> bool {
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    pub(crate) fn record_signal(&mut self, now: Micros, signal: EndpointSignal) {
        match signal {
            EndpointSignal::Responsive => {
                self.consecutive_failures = 0;
                self.last_alive_at = now;
            }
            EndpointSignal::Unresponsive => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
            }
        }
    }

    /// Returns the reported load unless the report is too old.
    pub(crate) fn recent_load(&self, now: Micros) -> Option<f64> {
        self.load.filter(|sample| now < sample.reported_at + MAX_REPORT_AGE).map(|sample| sample.load)
    }
}
