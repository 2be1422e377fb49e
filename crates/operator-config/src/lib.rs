#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]
//! Operator files: one directive a line, `#` begins a comment, quotes as in a shell, a block's lines between `{` and
//! `}`.
//!
//! Text goes into [`parse`], a tree of [`Directive`]s comes out; a [`Section`] reads that tree with typed values
//! ([`units`]) and collects every [`ConfigError`], so that all are reported at once. This package knows the syntax of
//! directives and not their meaning: each part of the program reads its own file with it. It opens no file and changes
//! nothing; the caller decides what happens to a file with errors (as a rule, it is rejected whole).

mod error;
mod parse;
mod section;
pub mod units;

pub use error::{ConfigError, ConfigErrors};
pub use parse::{Directive, Word, parse};
pub use section::Section;
