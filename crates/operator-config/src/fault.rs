//! What is wrong with an operator file, and where.

use std::fmt;

/// One fault: the file, the place in it, what is wrong and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {what}")]
pub struct Fault {
    /// The file's name as the caller gave it.
    pub file: String,
    /// The line, counted from 1; the last line of the file where something is missing at its end.
    pub line: u32,
    /// The column, in characters, counted from 1.
    pub column: u32,
    /// What is wrong, with the word that is, and what is allowed there.
    pub what: String,
}

/// All faults of a file, in the order of their places: never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Sorts faults by place; none if there are none.
    pub fn from_list(mut faults: Vec<Fault>) -> Option<Faults> {
        faults.sort_by_key(|f| (f.line, f.column));
        (!faults.is_empty()).then_some(Faults(faults))
    }

    /// The faults.
    pub fn list(&self) -> &[Fault] {
        &self.0
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            write!(f, "{}{fault}", if i > 0 { "\n" } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
