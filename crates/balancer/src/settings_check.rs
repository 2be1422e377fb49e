//! Checks of a balancer's settings.

use std::fmt;

use crate::Settings;

/// Why settings were refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(&'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for SettingsError {}

/// Checks the figures that the balancer divides by, multiplies with or compares.
///
/// # Errors
/// The first figure that is out of its range.
pub(crate) fn check(settings: &Settings) -> Result<(), SettingsError> {
    let rules = &settings.rules;
    let is_valid = |number: f64| number >= 0.0 && number.is_finite();
    if !(0.0..=1.0).contains(&rules.initial_capacity) {
        return Err(SettingsError("start_capacity is not within 0 and 1"));
    }
    if !is_valid(rules.overload_factor) || rules.overload_factor == 0.0 {
        return Err(SettingsError("overload_factor is not a positive number"));
    }
    if !settings.classes.iter().all(|class| is_valid(class.priority_weight)) {
        return Err(SettingsError("a class has a worth that is not a number of 0 or more"));
    }
    if !is_valid(settings.prices.cross_zone) || !is_valid(settings.prices.migration) {
        return Err(SettingsError("a price is not a number of 0 or more"));
    }
    Ok(())
}
