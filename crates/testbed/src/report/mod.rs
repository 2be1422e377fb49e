//! What clients and endpoints have seen, and the verdict on it.
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

pub mod observations;
pub mod site;
