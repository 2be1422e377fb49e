//! Estimates of load where the settings say that endpoints report none, and adaptive throttling there.
//!
//! A balancer's own connections are a sample of all: one of R balancers sees one in R connections. If the
//! endpoints' loads differ by a factor that is gamma-distributed with shape `k` about the fleet's mean, and
//! own connections are a Poisson sample, the best estimate of an endpoint's load is `mean * (k + own) / (k +
//! expected)`, where `expected` is the number of own connections by its capacity. Few own connections leave
//! the mean, many override it. Failures tell more: an endpoint that rejects connections is full, and one that
//! drops open connections is overloaded. No I/O, no clock.

use crate::{LoadReportSource, Micros, Settings};

/// The shape `k`: loads differ by 40% of their mean.
const LOAD_SHAPE: f64 = 6.0;
/// Load of an endpoint that has just dropped an open connection.
const LOAD_AFTER_RESET: f64 = 1.0;
/// Load of an endpoint that has just rejected a connection.
const LOAD_AFTER_REJECTION: f64 = 0.85;
/// Load of one connection on an endpoint of weight 1 until own connections tell; no setting says it.
///
/// If it is too high, endpoints in slow start stay idle while others are overloaded, and nothing corrects it.
/// If it is too low, the margin below what they bear shrinks.
const UNREPORTED_CONNECTION_LOAD: f64 = 0.02;

/// Requests and losses are forgotten by 1/e over this time, in microseconds.
const LOSS_MEMORY: f64 = 6e6;
/// Losses that do not count: endpoints end and restart one by one.
const IGNORED_LOSSES: f64 = 1.0;
/// Fraction of this balancer's recent requests whose loss shows an overloaded fleet.
const PRESSURE_LOSS_RATIO: f64 = 0.1;

/// Whether no endpoint ever reports its load.
pub fn is_unreported(settings: &Settings) -> bool {
    settings.load_reports == LoadReportSource::Unavailable
}

/// Load of one connection on an endpoint of weight 1 until anything tells; `reported` where reports will.
pub fn initial_connection_load(settings: &Settings, reported: f64) -> f64 {
    if is_unreported(settings) { UNREPORTED_CONNECTION_LOAD } else { reported }
}

/// Estimates an endpoint's load from the fleet's mean, the number of own connections there, and the number
/// expected by its capacity.
pub fn estimate_load(mean: f64, own: usize, expected: f64) -> f64 {
    mean * (LOAD_SHAPE + own as f64) / (LOAD_SHAPE + expected.max(0.0))
}

/// Least load of an endpoint that has just dropped an open connection, or else rejected a new one.
pub fn load_after_failure(was_dropped: bool) -> f64 {
    if was_dropped { LOAD_AFTER_RESET } else { LOAD_AFTER_REJECTION }
}

/// Adaptive throttling: rejects as large a fraction of the requests, unsent, as was lost of late.
///
/// An overloaded endpoint drops connections, whose clients return and overload the next one. Affinity groups
/// are kept or rejected as a whole, so that the endpoints that pay a group's cost have more connections of
/// it.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveThrottle {
    /// Recent requests, those rejected here included.
    requests: f64,
    /// Recent losses to overload.
    losses: f64,
    updated_at: Micros,
}

impl AdaptiveThrottle {
    fn decay(&mut self, now: Micros) {
        let left = (-(now.saturating_sub(self.updated_at) as f64) / LOSS_MEMORY).exp();
        self.requests *= left;
        self.losses *= left;
        self.updated_at = now;
    }

    /// Records that a connection was dropped or rejected for want of capacity.
    pub fn record_loss(&mut self, now: Micros) {
        self.decay(now);
        self.losses += 1.0;
    }

    /// Whether so many recent requests were lost that the endpoints in use are overloaded, whatever their
    /// estimated load.
    pub fn is_under_pressure(&self) -> bool {
        self.losses - IGNORED_LOSSES > PRESSURE_LOSS_RATIO * self.requests
    }

    /// Records a request and returns whether it should be rejected.
    ///
    /// `draw` is uniform on 0 to 1 and the same for all requests of an affinity group.
    pub fn should_reject(&mut self, now: Micros, draw: f64) -> bool {
        self.decay(now);
        self.requests += 1.0;
        draw < (self.losses - IGNORED_LOSSES) / (self.requests + 1.0)
    }
}
