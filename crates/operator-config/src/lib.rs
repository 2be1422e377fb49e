#![forbid(unsafe_code)]
//! Operator files, in the manner of classic daemons: one directive a line, `#` begins a comment, quotes as in a
//! shell, a block's lines between `{` and `}`.
//!
//! Text goes into [`parse`], a tree of [`Directive`]s comes out; a [`Section`] reads that tree with typed values
//! ([`units`]) and notes every [`Fault`] on the way, so that all of them are told at once. This package knows what a
//! directive looks like and never what one does: each part of the program reads its own file with it. It opens no
//! file and changes nothing; who calls it decides what happens to a file with faults (as a rule: all is refused).

mod fault;
mod parse;
mod section;
pub mod units;

pub use fault::{Fault, Faults};
pub use parse::{Directive, Word, parse};
pub use section::Section;
