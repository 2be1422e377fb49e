//! Latencies of messages at the endpoints: which are reported to the balancer, and where they are measured next.

use std::collections::BTreeMap;

use honeyknot_balancer::{EndpointId, LoadReportSource, Micros, Settings};

/// Interval of checks for latencies that are to be reported again, in microseconds.
pub(in crate::relay) const CHECK_INTERVAL: Micros = REPORT_INTERVAL / 4;
/// Interval at which a lasting latency of an endpoint is reported, in microseconds.
const REPORT_INTERVAL: Micros = 1_000_000;
/// Time after which a latency that was not observed again is forgotten, in microseconds.
const MAX_LATENCY_AGE: Micros = 4_000_000;
/// Interval of measurements at an endpoint, in microseconds; endpoints refresh their load reports about as often.
const MEASURE_INTERVAL: Micros = 1_500_000;
/// Load over capacity below which an endpoint is measured less often.
const LIGHT_LOAD: f64 = 0.6;
/// Interval of measurements at an endpoint with light load, in microseconds.
const LIGHT_LOAD_MEASURE_INTERVAL: Micros = 8_000_000;
/// A latency is reported from the objective divided by this on.
const REPORT_DIVISOR: f64 = 3.0;

/// Where a latency was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::relay) enum LatencySource {
    /// A line of the client and its answer.
    ClientLine,
    /// A load report of the endpoint.
    LoadReport,
}

/// A high latency of an endpoint.
#[derive(Debug)]
struct HighLatency {
    latency_ms: f64,
    source: LatencySource,
    observed_at: Micros,
    reported_at: Micros,
}

/// The latencies of messages at all endpoints.
#[derive(Debug)]
pub(in crate::relay) struct MessageLatencies {
    /// The shortest latency objective in microseconds, where latencies are reported at all.
    objective: Option<Micros>,
    /// Whether latencies are measured by health checks.
    measured: bool,
    high: BTreeMap<EndpointId, HighLatency>,
    /// When endpoints are to be measured next.
    measure_at: BTreeMap<EndpointId, Micros>,
}

impl MessageLatencies {
    pub(in crate::relay) fn new(settings: &Settings) -> MessageLatencies {
        let objectives = settings.classes.iter().map(|class| class.message_latency_objective);
        let health_checks_report =
            settings.permissions.health_checks && settings.load_reports != LoadReportSource::Unavailable;
        MessageLatencies {
            objective: objectives
                .filter(|objective| *objective > 0)
                .min()
                .filter(|_| settings.reports_message_latency),
            measured: settings.reports_message_latency && health_checks_report,
            high: BTreeMap::new(),
            measure_at: BTreeMap::new(),
        }
    }

    /// Records a latency and returns whether it is to be reported.
    ///
    /// A high latency is reported once per interval while it lasts, and once more when it has ended. An endpoint
    /// may answer client lines at once while its other work is late, so a low latency ends only a high one of the
    /// same source.
    pub(in crate::relay) fn record(
        &mut self, now: Micros, endpoint: &EndpointId, latency_ms: f64, source: LatencySource,
    ) -> bool {
        let Some(objective) = self.objective else { return false };
        let is_high = latency_ms * 1e3 > objective as f64 / REPORT_DIVISOR;
        match self.high.get_mut(endpoint) {
            None if !is_high => return false,
            Some(high) if !is_high && high.source != source => return false,
            Some(high) if is_high && now < high.reported_at + REPORT_INTERVAL => {
                high.latency_ms = latency_ms;
                high.observed_at = now;
                return false;
            }
            _ => {}
        }
        if is_high {
            let high = HighLatency { latency_ms, source, observed_at: now, reported_at: now };
            self.high.insert(endpoint.clone(), high);
        } else {
            self.high.remove(endpoint);
        }
        true
    }

    /// Returns the latencies in milliseconds that are to be reported again: those of load reports that were
    /// observed recently.
    pub(in crate::relay) fn due_reports(&mut self, now: Micros) -> Vec<(EndpointId, f64)> {
        self.high.retain(|_, high| now < high.observed_at + MAX_LATENCY_AGE);
        let is_due = |high: &HighLatency| {
            high.source == LatencySource::LoadReport && now >= high.reported_at + REPORT_INTERVAL
        };
        let due = self.high.iter_mut().filter(|(_, high)| is_due(high));
        let reports = due.map(|(endpoint, high)| {
            high.reported_at = now;
            (endpoint.clone(), high.latency_ms)
        });
        reports.collect()
    }

    /// Returns which of the endpoints is to be measured now: the one that has been due for longest.
    pub(in crate::relay) fn next_to_measure<'a>(
        &mut self, now: Micros, endpoints: impl Iterator<Item = &'a EndpointId>,
    ) -> Option<EndpointId> {
        if !self.measured {
            return None;
        }
        let due_at = |id: &EndpointId| self.measure_at.get(id).copied().unwrap_or(0);
        let id = endpoints.min_by_key(|id| due_at(id)).filter(|id| now >= due_at(id))?.clone();
        self.measure_at.insert(id.clone(), now + MEASURE_INTERVAL);
        Some(id)
    }

    /// Records the end of a health check, perhaps with the endpoint's load over capacity.
    pub(in crate::relay) fn measurement_ended(
        &mut self, now: Micros, endpoint: &EndpointId, load: Option<f64>,
    ) {
        let is_light = load.is_some_and(|load| load < LIGHT_LOAD);
        let interval = if is_light { LIGHT_LOAD_MEASURE_INTERVAL } else { MEASURE_INTERVAL };
        self.measure_at.insert(endpoint.clone(), now + interval);
    }
}
