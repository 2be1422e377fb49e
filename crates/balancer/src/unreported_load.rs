//! What a balancer may believe of an endpoint's load where the settings give no reports.
//!
//! Its own connections are a sample of all: one in so many balancers sees one in so many connections. If
//! endpoints' true loads differ by a factor that is gamma-distributed with shape k about the fleet's mean,
//! and own connections are a Poisson sample, the best estimate of an endpoint's load is `mean * (k + own) /
//! (k + expected)`, where `expected` is what its size would have of the own ones. Few own connections leave
//! the mean, many give the sample's word. Failures tell more: an endpoint that turns newcomers away is full,
//! one that drops open connections has more work than it can do. No I/O, no clock.

use crate::{LoadReportSource, Micros, Settings};

/// The shape k: loads that differ by 40% of their mean.
const LOAD_SHAPE: f64 = 6.0;
/// Load of an endpoint that drops open connections ...
const LOAD_AFTER_RESET: f64 = 1.0;
/// ... and of one that turns newcomers away. Both fade with the trust in a report.
const LOAD_AFTER_REJECTION: f64 = 0.85;

/// Load of one connection on an endpoint of weight 1 until own connections tell. No setting tells it. Taken
/// too high, cold endpoints idle while the warm ones jam, and nothing would correct it; taken too low, the
/// margin below the rule on cold endpoints shrinks. At this one an endpoint of weight 1 holds fifty.
const UNREPORTED_CONNECTION_LOAD: f64 = 0.02;

/// Whether nothing ever tells the load of an endpoint.
pub fn is_unreported(settings: &Settings) -> bool {
    settings.load_reports == LoadReportSource::Unavailable
}

/// Load of one connection on an endpoint of weight 1 until anything tells; `reported` where reports will.
pub fn initial_connection_load(settings: &Settings, reported: f64) -> f64 {
    if is_unreported(settings) { UNREPORTED_CONNECTION_LOAD } else { reported }
}

/// An endpoint's load, of which nothing is known but own connections: there, and as its size would have of
/// all own ones.
pub fn estimate_load(mean: f64, own: usize, expected: f64) -> f64 {
    mean * (LOAD_SHAPE + own as f64) / (LOAD_SHAPE + expected.max(0.0))
}

/// Asks and losses are forgotten by 1/e over this.
const LOSS_MEMORY: f64 = 6e6;
/// So many losses say nothing: endpoints end and restart one by one.
const IGNORED_LOSSES: f64 = 1.0;
/// Part of the own asks of late whose loss shows a jam.
const PRESSURE_LOSS_RATIO: f64 = 0.1;

/// Adaptive throttling: how many of the own asks of late were lost, where no report tells that the fleet has
/// no room.
///
/// A jammed endpoint drops connections, which come again and jam the next one; that feeds itself. So as many
/// asks are turned away unsent as were lost of late, by group: groups are kept or turned away whole, and the
/// endpoints that hold one pay its cost for more of its connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveThrottle {
    requests: f64,
    losses: f64,
    at: Micros,
}

impl AdaptiveThrottle {
    fn fade(&mut self, now: Micros) {
        let left = (-(now.saturating_sub(self.at) as f64) / LOSS_MEMORY).exp();
        *self = AdaptiveThrottle { requests: self.requests * left, losses: self.losses * left, at: now };
    }

    /// A connection was dropped, or an attempt turned away, for want of room.
    pub fn record_loss(&mut self, now: Micros) {
        self.fade(now);
        self.losses += 1.0;
    }

    /// Whether many of the own asks of late were lost: those that hold the connections are jammed, whatever
    /// is believed of them.
    pub fn is_under_pressure(&self) -> bool {
        self.losses - IGNORED_LOSSES > PRESSURE_LOSS_RATIO * self.requests
    }

    /// Takes an ask; true if it is to be turned away. The draw is uniform on 0 to 1, the same for all asks of
    /// a group.
    pub fn should_reject(&mut self, now: Micros, draw: f64) -> bool {
        self.fade(now);
        self.requests += 1.0;
        draw < (self.losses - IGNORED_LOSSES) / (self.requests + 1.0)
    }
}

/// The least load of an endpoint that has just dropped a connection, or else turned one away.
pub fn load_after_failure(dropped: bool) -> f64 {
    if dropped { LOAD_AFTER_RESET } else { LOAD_AFTER_REJECTION }
}
