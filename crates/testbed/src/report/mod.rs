//! The observations of clients, endpoints and discovery, and the report that checks them against the rules.
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

pub mod observations;
pub mod site;
