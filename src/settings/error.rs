//! Why a settings object is rejected.

use honeyknot_balancer::Micros;

use super::reader::MAX_DURATION;

/// Why a settings object is rejected. The error text names the setting by its path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The settings are not a JSON object.
    #[error("the settings are not a JSON object")]
    NotAnObject,
    /// A setting's value has the wrong JSON type, or is negative where the setting is a whole number.
    #[error("setting `{path}` has the wrong JSON type, or is negative where it must not be")]
    WrongType {
        /// Path of the setting, such as `rules.fallUs`.
        path: String,
    },
    /// A duration exceeds the limit that keeps sums of durations from overflowing.
    #[error("setting `{path}` is {duration} us; the maximum is one year, {MAX_DURATION} us")]
    DurationTooLong {
        /// Path of the setting.
        path: String,
        /// The duration in microseconds.
        duration: Micros,
    },
    /// A list of names has an entry that is not a string.
    #[error("setting `{path}` has an entry that is not a string")]
    NotStrings {
        /// Path of the setting.
        path: String,
    },
}
