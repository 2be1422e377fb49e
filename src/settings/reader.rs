//! Typed access to a JSON object by dotted paths.

use honeyknot_balancer::Micros;
use serde_json::Value;

use super::SettingsError;

/// The longest duration that a setting may have, in microseconds: a year. Sums of durations stay far from overflow.
pub(super) const MAX_DURATION: Micros = 365 * 86_400 * 1_000_000;

/// Reads settings below one JSON value. An absent key takes its default and an unknown key is ignored.
#[derive(Debug)]
pub(super) struct SettingsReader<'a> {
    value: &'a Value,
    /// Path of `value` in the whole object, for error messages.
    prefix: String,
}

impl<'a> SettingsReader<'a> {
    /// Reads from the root of the settings.
    pub(super) fn new(value: &'a Value) -> SettingsReader<'a> {
        SettingsReader { value, prefix: String::new() }
    }

    /// Reads one entry of the list named `list`.
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

    /// Reads a truth value.
    pub(super) fn bool(&self, path: &str, default: bool) -> Result<bool, SettingsError> {
        self.read(path, default, Value::as_bool)
    }

    /// Reads a number.
    pub(super) fn f64(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        self.read(path, default, Value::as_f64)
    }

    /// Reads a whole number of 0 or more; a fraction is cut off.
    pub(super) fn u64(&self, path: &str, default: u64) -> Result<u64, SettingsError> {
        let truncated =
            |value: &Value| value.as_f64().filter(|number| *number >= 0.0).map(|number| number as u64);
        self.read(path, default, |value| value.as_u64().or_else(|| truncated(value)))
    }

    /// Reads a whole number of 0 or more; one that does not fit becomes `u32::MAX`.
    pub(super) fn u32(&self, path: &str, default: u32) -> Result<u32, SettingsError> {
        let number = self.u64(path, u64::from(default))?;
        Ok(u32::try_from(number).unwrap_or(u32::MAX))
    }

    /// Reads a string; absent is empty.
    pub(super) fn str(&self, path: &str) -> Result<&'a str, SettingsError> {
        self.read(path, "", Value::as_str)
    }

    /// Reads a list; absent is empty.
    pub(super) fn array(&self, path: &str) -> Result<&'a [Value], SettingsError> {
        self.read(path, &[][..], |value| value.as_array().map(Vec::as_slice))
    }

    /// Reads a list of names.
    ///
    /// # Errors
    /// [`SettingsError::NotStrings`] if an entry is not a string.
    pub(super) fn names(&self, path: &str) -> Result<Vec<String>, SettingsError> {
        let not_strings = || SettingsError::NotStrings { path: self.full_path(path) };
        let name = |value: &Value| value.as_str().map(str::to_owned).ok_or_else(not_strings);
        self.array(path)?.iter().map(name).collect()
    }

    /// Reads one of the named choices; an absent or unknown word takes the first.
    pub(super) fn choice<T: Copy>(&self, path: &str, choices: &[(&str, T)]) -> Result<T, SettingsError> {
        let word = self.str(path)?;
        let chosen = choices.iter().find(|(name, _)| *name == word).unwrap_or(&choices[0]);
        Ok(chosen.1)
    }
}
