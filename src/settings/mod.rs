//! The settings object, from JSON to typed [`Settings`](honeyknot_balancer::Settings).
//!
//! The simulator's first message to an instance and the relay's configuration hold the same object. Its JSON keys, some
//! of which use the protocol's own words, are translated to the balancer's terms here and nowhere else.

#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod error;
mod name_table;
mod parse;
mod reader;

pub use error::SettingsError;
pub use name_table::NameTable;
pub use parse::parse_settings;
