//! Parses the JSON settings object into typed [`Settings`](honeyknot_balancer::Settings).
//!
//! The simulator's first message to an instance and the relay's configuration file hold the same object. Its
//! JSON keys and values are translated to the balancer's terms in this module only.

#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod error;
mod name_table;
mod parse;
mod reader;

pub use error::SettingsError;
pub use name_table::NameTable;
pub use parse::parse_settings;
