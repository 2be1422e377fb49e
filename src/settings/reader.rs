//! Typed access to a JSON object by dotted paths, such as `rules.fallUs`.

use honeyknot_balancer::Micros;
use serde_json::Value;

use super::SettingsError;

/// The longest duration that a setting may have, in microseconds: one year, so that sums of durations cannot
/// overflow.
pub(super) const MAX_DURATION: Micros = 365 * 86_400 * 1_000_000;

/// Reads settings from a JSON value. An absent or null key takes its default; unknown keys are ignored.
#[derive(Debug)]
pub(super) struct SettingsReader<'a> {
    value: &'a Value,
    /// Path of `value` in the settings object, for error texts; empty, or ends with a dot.
    prefix: String,
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader of the whole settings object.
    pub(super) fn new(value: &'a Value) -> SettingsReader<'a> {
        SettingsReader { value, prefix: String::new() }
    }

    /// Creates a reader of one entry of the list named `list`.
    pub(super) fn list_entry(list: &str, index: usize, value: &'a Value) -> SettingsReader<'a> {
        SettingsReader { value, prefix: format!("{list}[{index}].") }
    }

    fn full_path(&self, path: &str) -> String {
        format!("{}{path}", self.prefix)
    }

    fn get(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.value, |value, key| value.get(key)).filter(|value| !value.is_null())
    }

    fn read<T>(
        &self, path: &str, default: T, convert: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let Some(value) = self.get(path) else { return Ok(default) };
        convert(value).ok_or_else(|| SettingsError::WrongType { path: self.full_path(path) })
    }

    /// Reads a duration in microseconds.
    ///
    /// # Errors
    /// [`SettingsError::DurationTooLong`] above [`MAX_DURATION`].
    pub(super) fn duration(&self, path: &str, default: Micros) -> Result<Micros, SettingsError> {
        let duration = self.u64(path, default)?;
        if duration > MAX_DURATION {
            return Err(SettingsError::DurationTooLong { path: self.full_path(path), duration });
        }
        Ok(duration)
    }

    /// Reads a boolean.
    pub(super) fn bool(&self, path: &str, default: bool) -> Result<bool, SettingsError> {
        self.read(path, default, Value::as_bool)
    }

    /// Reads a number.
    pub(super) fn f64(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        self.read(path, default, Value::as_f64)
    }

    /// Reads a number of 0 or more; its fraction is truncated.
    pub(super) fn u64(&self, path: &str, default: u64) -> Result<u64, SettingsError> {
        let truncated =
            |value: &Value| value.as_f64().filter(|number| *number >= 0.0).map(|number| number as u64);
        self.read(path, default, |value| value.as_u64().or_else(|| truncated(value)))
    }

    /// Reads a number of 0 or more; its fraction is truncated, and one that is too large becomes `u32::MAX`.
    pub(super) fn u32(&self, path: &str, default: u32) -> Result<u32, SettingsError> {
        let number = self.u64(path, u64::from(default))?;
        Ok(u32::try_from(number).unwrap_or(u32::MAX))
    }

    /// Reads a string, which is empty if it is absent.
    pub(super) fn str(&self, path: &str) -> Result<&'a str, SettingsError> {
        self.read(path, "", Value::as_str)
    }

    /// Reads a list, which is empty if it is absent.
    pub(super) fn array(&self, path: &str) -> Result<&'a [Value], SettingsError> {
        self.read(path, &[][..], |value| value.as_array().map(Vec::as_slice))
    }

    /// Reads a list of strings, which is empty if it is absent.
    ///
    /// # Errors
    /// [`SettingsError::NotStrings`] if an entry is not a string.
    pub(super) fn names(&self, path: &str) -> Result<Vec<String>, SettingsError> {
        let not_strings = || SettingsError::NotStrings { path: self.full_path(path) };
        let name = |value: &Value| value.as_str().map(str::to_owned).ok_or_else(not_strings);
        self.array(path)?.iter().map(name).collect()
    }

    /// Reads a string that selects one of the choices; an absent or unknown one selects the first.
    pub(super) fn choice<T: Copy>(&self, path: &str, choices: &[(&str, T)]) -> Result<T, SettingsError> {
        let selected = self.str(path)?;
        let chosen = choices.iter().find(|(name, _)| *name == selected).unwrap_or(&choices[0]);
        Ok(chosen.1)
    }
}
