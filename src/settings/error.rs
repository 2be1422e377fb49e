//! Why a settings object is refused.

use honeyknot_balancer::Micros;

use super::reader::MAX_DURATION;

/// Why a settings object cannot be used. The text names the setting by its path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The settings are not a JSON object.
    #[error("settings are an object")]
    NotAnObject,
    /// A setting's value has another JSON type than the setting.
    #[error("setting `{path}` has a wrong type")]
    WrongType {
        /// Path of the setting, such as `rules.fallUs`.
        path: String,
    },
    /// A duration exceeds the limit, above which sums of durations could overflow.
    #[error("setting `{path}` is {duration}; at most a year, {MAX_DURATION} us, is allowed")]
    DurationTooLong {
        /// Path of the setting.
        path: String,
        /// The duration in microseconds.
        duration: Micros,
    },
    /// A list of names holds something that is not a string.
    #[error("setting `{path}` holds no names")]
    NotStrings {
        /// Path of the setting.
        path: String,
    },
}
