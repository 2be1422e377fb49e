//! What is believed of figures that are told now and then. No I/O, no clock.

use crate::Micros;

/// Trust in a report falls by 1/e over this time, towards the fleet's mean.
const TRUST_DECAY_TIME: f64 = 6e6;

/// How far a report of that time is still trusted, from 0 to 1.
pub fn report_trust(at: Micros, now: Micros) -> f64 {
    (-(now.saturating_sub(at) as f64) / TRUST_DECAY_TIME).exp()
}

/// Moves a running mean a little towards a new value; what is no number of 0 or more is passed over.
pub fn update_mean(mean: &mut Option<f64>, value: f64) {
    if value.is_finite() && value >= 0.0 {
        *mean = Some(mean.map_or(value, |m| m + (value - m) * 0.05));
    }
}
