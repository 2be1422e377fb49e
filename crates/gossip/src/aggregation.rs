//! Aggregation of several members' observations of one endpoint.

use crate::observation::HealthCheckOutcome;
use crate::view::MemberObservation;

/// The health of an endpoint, aggregated from the observations of several members.
///
/// With three observations a wrong one moves the median no further than the next correct one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AggregatedHealth {
    /// Number of observations.
    pub observations: usize,
    /// The most frequent outcome; the better one of equally frequent outcomes.
    pub outcome: HealthCheckOutcome,
    /// Median of load over capacity; the higher of two.
    pub load: Option<f64>,
    /// Median of the time that a message takes, in milliseconds; the higher of two.
    pub latency_ms: Option<f64>,
}

impl AggregatedHealth {
    /// Aggregates observations; `None` if there are none.
    pub(crate) fn from_observations(observations: &[&MemberObservation]) -> Option<AggregatedHealth> {
        if observations.is_empty() {
            return None;
        }
        let count =
            |outcome| observations.iter().filter(|observation| observation.outcome == outcome).count();
        // `max_by_key` returns the last of equal elements, so the best outcome comes last.
        let outcomes =
            [HealthCheckOutcome::Unresponsive, HealthCheckOutcome::Failing, HealthCheckOutcome::Healthy];
        let outcome = outcomes.into_iter().max_by_key(|outcome| count(*outcome))?;
        let load = median(observations.iter().filter_map(|observation| observation.load).collect());
        let latency_ms =
            median(observations.iter().filter_map(|observation| observation.latency_ms).collect());
        Some(AggregatedHealth { observations: observations.len(), outcome, load, latency_ms })
    }
}

/// Returns the median; of an even number of values the higher one of the middle two.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
