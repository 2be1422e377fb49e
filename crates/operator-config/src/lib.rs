#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]
//! Parser for operator files.
//!
//! A file has one directive a line: a name and the words after it, quoted as in a shell. `#` begins a
//! comment. A directive may have a block of further directives between `{` and `}`.
//!
//! [`parse()`] turns the text of a file into a tree of [`Directive`]s. A [`Section`] reads typed values
//! ([`units`]) from the tree and collects every [`ConfigError`], so that all errors of a file are reported
//! together. This crate knows the syntax of directives but not their meaning: each part of the program reads
//! its own file with it. It does no I/O; the caller decides what happens to a file with errors (normally the
//! whole file is rejected).

mod error;
mod parse;
mod section;
pub mod units;

pub use error::{ConfigError, ConfigErrors};
pub use parse::{Directive, Word, parse};
pub use section::Section;
