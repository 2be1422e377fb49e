//! Message latencies of the endpoints: which are reported to the balancer, and which endpoint is measured
//! next.

use std::collections::BTreeMap;

use honeyknot_balancer::{EndpointId, LoadReportSource, Micros, Settings};

/// Interval of the checks for latencies that are due to be reported again, in microseconds.
pub(in crate::relay) const CHECK_INTERVAL: Micros = REPORT_INTERVAL / 4;
/// Interval at which an endpoint's latency is reported while it stays high, in microseconds.
const REPORT_INTERVAL: Micros = 1_000_000;
/// Time after which a high latency that was not observed again is discarded, in microseconds.
const MAX_LATENCY_AGE: Micros = 4_000_000;
/// Interval of measurements at an endpoint, in microseconds; endpoints refresh their load reports about as
/// often.
const MEASURE_INTERVAL: Micros = 1_500_000;
/// Load over capacity below which an endpoint is measured less often.
const LIGHT_LOAD: f64 = 0.6;
/// Interval of measurements at an endpoint with light load, in microseconds.
const LIGHT_LOAD_MEASURE_INTERVAL: Micros = 8_000_000;
/// A latency is high, and reported, above the objective divided by this.
const REPORT_DIVISOR: f64 = 3.0;

/// Where a latency was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::relay) enum LatencySource {
    /// The time between a client's line and its answer.
    ClientLine,
    /// The endpoint's load report.
    LoadReport,
}

/// A high latency of an endpoint, and when it was last observed and reported.
#[derive(Debug)]
struct HighLatency {
    latency_ms: f64,
    source: LatencySource,
    observed_at: Micros,
    reported_at: Micros,
}

/// The message latencies of all endpoints.
#[derive(Debug)]
pub(in crate::relay) struct MessageLatencies {
    /// The shortest latency objective, in microseconds; `None` if latencies are not reported.
    objective: Option<Micros>,
    /// Whether latencies are measured by health checks.
    measured_by_health_checks: bool,
    high: BTreeMap<EndpointId, HighLatency>,
    /// When an endpoint is due to be measured next; one without an entry is due now.
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
            measured_by_health_checks: settings.reports_message_latency && health_checks_report,
            high: BTreeMap::new(),
            measure_at: BTreeMap::new(),
        }
    }

    /// Records a latency and returns whether it must be reported to the balancer now.
    ///
    /// A high latency is reported once per interval while it lasts, and the first low latency after it is
    /// reported too. An endpoint may answer client lines at once while its other work is late, so a low
    /// latency ends a high one only if both have the same source.
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

    /// Returns the endpoints whose high latencies are due to be reported again, with the latencies in
    /// milliseconds: those from load reports that were observed recently.
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

    /// Returns the endpoint to measure now: the one that has been due for longest. Returns `None` if none is
    /// due or health checks do not measure latencies.
    pub(in crate::relay) fn next_to_measure<'a>(
        &mut self, now: Micros, endpoints: impl Iterator<Item = &'a EndpointId>,
    ) -> Option<EndpointId> {
        if !self.measured_by_health_checks {
            return None;
        }
        let due_at = |id: &EndpointId| self.measure_at.get(id).copied().unwrap_or(0);
        let id = endpoints.min_by_key(|id| due_at(id)).filter(|id| now >= due_at(id))?.clone();
        self.measure_at.insert(id.clone(), now + MEASURE_INTERVAL);
        Some(id)
    }

    /// Records the end of a health check. `load` is the endpoint's load over capacity, if it was reported.
    pub(in crate::relay) fn measurement_ended(
        &mut self, now: Micros, endpoint: &EndpointId, load: Option<f64>,
    ) {
        let is_light = load.is_some_and(|load| load < LIGHT_LOAD);
        let interval = if is_light { LIGHT_LOAD_MEASURE_INTERVAL } else { MEASURE_INTERVAL };
        self.measure_at.insert(endpoint.clone(), now + interval);
    }
}
