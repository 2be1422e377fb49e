//! Load estimates and adaptive throttling for deployments whose endpoints report no load.
//!
//! A balancer's own connections are a sample of all connections: one of R balancers sees one in R. If an
//! endpoint's load is the fleet's mean times a gamma-distributed factor with shape `k`, and the own
//! connections are a Poisson sample, then the best estimate of its load is `mean * (k + own) / (k +
//! expected)`. Here `expected` is the number of own connections to expect from the endpoint's capacity. With
//! few own connections, the estimate stays near the mean; many override it. Failures say more: an endpoint
//! that rejects connections is full, and one that drops open connections is overloaded.

use crate::{LoadReportSource, Micros, Settings};

/// Shape `k` of the distribution of loads: their standard deviation is about 40% of the mean.
const LOAD_SHAPE: f64 = 6.0;
/// Assumed load of an endpoint that has just dropped an open connection.
const LOAD_AFTER_RESET: f64 = 1.0;
/// Assumed load of an endpoint that has just rejected a connection.
const LOAD_AFTER_REJECTION: f64 = 0.85;
/// Load of one connection on an endpoint of weight 1 until own connections give an estimate. There is no
/// setting for it.
///
/// If it is too high, endpoints in slow start stay idle while others are overloaded, and nothing corrects it.
/// If it is too low, the safety margin of endpoints in slow start shrinks.
const UNREPORTED_CONNECTION_LOAD: f64 = 0.02;

/// Time in microseconds over which the counts of requests and losses decay to 1/e.
const LOSS_DECAY_MICROS: f64 = 6e6;
/// Number of recent losses that do not count, because single endpoints stop and restart in normal operation.
const IGNORED_LOSSES: f64 = 1.0;
/// The fleet counts as overloaded if more than this fraction of this balancer's recent requests was lost.
const PRESSURE_LOSS_RATIO: f64 = 0.1;

/// Returns whether endpoints report no load.
pub fn is_unreported(settings: &Settings) -> bool {
    settings.load_reports == LoadReportSource::Unavailable
}

/// Returns the initial estimate of a connection's load on an endpoint of weight 1; `reported` if endpoints
/// report their load.
pub fn initial_connection_load(settings: &Settings, reported: f64) -> f64 {
    if is_unreported(settings) { UNREPORTED_CONNECTION_LOAD } else { reported }
}

/// Estimates an endpoint's load from the fleet's mean load, the number of own connections to the endpoint,
/// and the number to expect from its capacity.
pub fn estimate_load(mean: f64, own: usize, expected: f64) -> f64 {
    mean * (LOAD_SHAPE + own as f64) / (LOAD_SHAPE + expected.max(0.0))
}

/// Returns the least load to assume of an endpoint that has just dropped an open connection, or rejected a
/// new one if `was_dropped` is false.
pub fn load_after_failure(was_dropped: bool) -> f64 {
    if was_dropped { LOAD_AFTER_RESET } else { LOAD_AFTER_REJECTION }
}

/// Adaptive throttle: rejects the same fraction of requests as was recently lost, without sending them.
///
/// An overloaded endpoint drops connections, and their clients reconnect and overload the next one. Affinity
/// groups are admitted or rejected as a whole, so that an endpoint that bears a group's overhead serves more
/// connections of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveThrottle {
    /// Decaying number of recent requests, including those rejected by the throttle.
    requests: f64,
    /// Decaying number of recent losses because of overload.
    losses: f64,
    updated_at: Micros,
}

impl AdaptiveThrottle {
    fn decay(&mut self, now: Micros) {
        let remaining_fraction = (-(now.saturating_sub(self.updated_at) as f64) / LOSS_DECAY_MICROS).exp();
        self.requests *= remaining_fraction;
        self.losses *= remaining_fraction;
        self.updated_at = now;
    }

    /// Records that a connection was dropped or rejected because of overload.
    pub fn record_loss(&mut self, now: Micros) {
        self.decay(now);
        self.losses += 1.0;
    }

    /// Returns whether so many recent requests were lost that the endpoints in use must be overloaded,
    /// whatever their estimated load.
    pub fn is_under_pressure(&self) -> bool {
        self.losses - IGNORED_LOSSES > PRESSURE_LOSS_RATIO * self.requests
    }

    /// Records a request and returns whether it should be rejected.
    ///
    /// `draw` is a random number, uniform on 0 to 1 and the same for all requests of an affinity group.
    pub fn should_reject(&mut self, now: Micros, draw: f64) -> bool {
        self.decay(now);
        self.requests += 1.0;
        draw < (self.losses - IGNORED_LOSSES) / (self.requests + 1.0)
    }
}
