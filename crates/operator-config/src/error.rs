//! What is wrong with an operator file, and where.

use std::fmt;

/// One error: the file, the position in it, what is wrong and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {message}")]
pub struct ConfigError {
    /// The file's name as the caller gave it.
    pub file: String,
    /// The line, counted from 1; the last line of the file where something is missing at its end.
    pub line: u32,
    /// The column, in characters, counted from 1.
    pub column: u32,
    /// What is wrong, with the word that is, and what is allowed there.
    pub message: String,
}

/// All errors of a file by position; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// Sorts errors by position; none if the list is empty.
    pub fn from_list(mut errors: Vec<ConfigError>) -> Option<ConfigErrors> {
        errors.sort_by_key(|error| (error.line, error.column));
        (!errors.is_empty()).then_some(ConfigErrors(errors))
    }

    /// Returns the errors.
    pub fn list(&self) -> &[ConfigError] {
        &self.0
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            write!(f, "{}{fault}", if i > 0 { "\n" } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}
