//! The relay's metrics: their recording, counters that persist across restarts, exporters and their spools.
//!
//! The relay records events by function calls, and exporters send snapshots. Metrics never influence the
//! relay's decisions.

#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod export_format;
pub(in crate::relay) mod exporter;
mod exporter_connection;
mod frame_queue;
pub(in crate::relay) mod labels;
pub(in crate::relay) mod persistent_counters;
pub(in crate::relay) mod recorder;
mod snapshot_directory;
pub mod spool;
mod spool_queue;
mod stats;
