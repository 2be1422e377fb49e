//! Aggregates several members' observations of one endpoint.

use crate::observation::HealthCheckOutcome;
use crate::view::MemberObservation;

/// The health of an endpoint, aggregated from the observations of several members.
///
/// Medians limit the effect of a wrong observation: of three, a single wrong one moves the median at most to
/// the nearest correct one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AggregatedHealth {
    /// Number of observations.
    pub observations: usize,
    /// The most frequent outcome; on a tie, the best of the most frequent ones.
    pub outcome: HealthCheckOutcome,
    /// Median of load over capacity; `None` if no member observed a load. Of an even number of values, the
    /// higher middle one.
    pub load: Option<f64>,
    /// Median of the message latency, in milliseconds; `None` if no member observed one. Of an even number of
    /// values, the higher middle one.
    pub latency_ms: Option<f64>,
}

impl AggregatedHealth {
    /// Aggregates observations. Returns `None` if there are none.
    pub(crate) fn from_observations(observations: &[&MemberObservation]) -> Option<AggregatedHealth> {
        if observations.is_empty() {
            return None;
        }
        let count =
            |outcome| observations.iter().filter(|observation| observation.outcome == outcome).count();
        // `max_by_key` returns the last of equal elements, so the best outcome is last.
        let outcomes =
            [HealthCheckOutcome::Unresponsive, HealthCheckOutcome::Failing, HealthCheckOutcome::Healthy];
        let outcome = outcomes.into_iter().max_by_key(|outcome| count(*outcome))?;
        let load = median(observations.iter().filter_map(|observation| observation.load).collect());
        let latency_ms =
            median(observations.iter().filter_map(|observation| observation.latency_ms).collect());
        Some(AggregatedHealth { observations: observations.len(), outcome, load, latency_ms })
    }
}

/// Returns the median, or `None` without values. Of an even number of values, it is the higher of the middle
/// two.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
