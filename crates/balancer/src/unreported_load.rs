//! What a balancer may believe of a server's load where the settings give no reports.
//!
//! Its own connections are a sample of all: one in so many balancers sees one in so many connections. If
//! servers' true loads differ by a factor that is gamma-distributed with shape k about the fleet's mean, and
//! own connections are a Poisson sample, the best estimate of a server's load is mean x (k + own) / (k +
//! expected), where `expected` is what its size would have of the own ones. Few own connections leave the
//! mean, many give the sample's word. Failures tell more: a server that turns newcomers away is full, one
//! that drops open connections has more work than it can do. No I/O, no clock.

use crate::{LoadReportSource, Micros, Settings};

/// The shape k: loads that differ by 40% of their mean.
const SHAPE: f64 = 6.0;
/// Load of a server that drops open connections ...
const DROPS: f64 = 1.0;
/// ... and of one that turns newcomers away. Both fade with the trust in a report.
const TURNS_AWAY: f64 = 0.85;

/// Load of one connection on a server of weight 1 until own connections tell. No setting tells it. Taken too
/// high, cold servers idle while the warm ones jam, and nothing would correct it; taken too low, the margin
/// below the rule on cold servers shrinks. At this one a server of weight 1 holds fifty.
const UNIT: f64 = 0.02;

/// Whether nothing ever tells the load of a server.
pub fn is_blind(settings: &Settings) -> bool {
    settings.load_reports == LoadReportSource::Unavailable
}

/// Load of one connection on a server of weight 1 until anything tells; `reported` where reports will.
pub fn unit(settings: &Settings, reported: f64) -> f64 {
    if is_blind(settings) { UNIT } else { reported }
}

/// A server's load, of which nothing is known but own connections: there, and as its size would have of all
/// own ones.
pub fn guess(mean: f64, own: usize, expected: f64) -> f64 {
    mean * (SHAPE + own as f64) / (SHAPE + expected.max(0.0))
}

/// Asks and losses are forgotten by 1/e over this.
const MEMORY: f64 = 6e6;
/// So many losses say nothing: servers end and restart one by one.
const CHANCE: f64 = 1.0;
/// Part of the own asks of late whose loss shows a jam.
const PRESSED: f64 = 0.1;

/// Adaptive throttling: how many of the own asks of late were lost, where no report tells that the fleet has
/// no room.
///
/// A jammed server drops connections, which come again and jam the next one; that feeds itself. So as many
/// asks are turned away unsent as were lost of late, by group: groups are kept or turned away whole, and the
/// servers that hold one pay its cost for more of its connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    asked: f64,
    lost: f64,
    at: Micros,
}

impl Throttle {
    fn fade(&mut self, now: Micros) {
        let left = (-(now.saturating_sub(self.at) as f64) / MEMORY).exp();
        *self = Throttle { asked: self.asked * left, lost: self.lost * left, at: now };
    }

    /// A connection was dropped, or an attempt turned away, for want of room.
    pub fn lost(&mut self, now: Micros) {
        self.fade(now);
        self.lost += 1.0;
    }

    /// Whether many of the own asks of late were lost: those that hold the connections are jammed, whatever
    /// is believed of them.
    pub fn pressed(&self) -> bool {
        self.lost - CHANCE > PRESSED * self.asked
    }

    /// Takes an ask; true if it is to be turned away. The draw is uniform on 0 to 1, the same for all asks of
    /// a group.
    pub fn turns_away(&mut self, now: Micros, draw: f64) -> bool {
        self.fade(now);
        self.asked += 1.0;
        draw < (self.lost - CHANCE) / (self.asked + 1.0)
    }
}

/// The least load of a server that has just dropped a connection, or else turned one away.
pub fn after_failure(dropped: bool) -> f64 {
    if dropped { DROPS } else { TURNS_AWAY }
}
