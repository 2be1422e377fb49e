//! Errors in an operator file, with their positions.

use std::fmt;

/// One error in an operator file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {message}")]
pub struct ConfigError {
    /// Name of the file, as the caller passed it.
    pub file: String,
    /// Line, counted from 1. For a block without a closing `}`, the last line of the file.
    pub line: u32,
    /// Column in characters, counted from 1.
    pub column: u32,
    /// What is wrong, the word concerned and what is allowed instead.
    pub message: String,
}

/// All errors of a file, sorted by position; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// Sorts errors by position. Returns `None` if the list is empty.
    pub fn from_list(mut errors: Vec<ConfigError>) -> Option<ConfigErrors> {
        errors.sort_by_key(|error| (error.line, error.column));
        (!errors.is_empty()).then_some(ConfigErrors(errors))
    }

    /// Returns the errors, sorted by position.
    pub fn list(&self) -> &[ConfigError] {
        &self.0
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            write!(formatter, "{}{error}", if index > 0 { "\n" } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}
