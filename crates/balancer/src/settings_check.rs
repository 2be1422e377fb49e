//! Validation of a balancer's settings.

use std::fmt;

use crate::Settings;

/// Says which setting is invalid, by its path in the settings file, and which values are allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(&'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for SettingsError {}

/// Checks the range of the numbers that the balancer calculates with.
///
/// # Errors
/// [`SettingsError`] for the first number that is out of its range.
pub(crate) fn check(settings: &Settings) -> Result<(), SettingsError> {
    let rules = &settings.rules;
    let is_valid = |number: f64| number >= 0.0 && number.is_finite();
    if !(0.0..=1.0).contains(&rules.initial_capacity) {
        return Err(SettingsError("`rules.startCapacity` must be a number from 0 to 1"));
    }
    if !is_valid(rules.overload_factor) || rules.overload_factor == 0.0 {
        return Err(SettingsError("`rules.overloadFactor` must be a number greater than 0"));
    }
    if !settings.classes.iter().all(|class| is_valid(class.priority_weight)) {
        return Err(SettingsError("`worth` must be a number of 0 or more in every entry of `services`"));
    }
    if !is_valid(settings.prices.cross_zone) || !is_valid(settings.prices.migration) {
        return Err(SettingsError("`tariffs.crossZone` and `tariffs.moves` must be numbers of 0 or more"));
    }
    Ok(())
}
