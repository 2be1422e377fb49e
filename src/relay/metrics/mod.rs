//! Metrics of the relay: recording, counters that outlast the process, exporters and their spools.
//!
//! The relay records events by plain calls; exporters read snapshots. Nothing here acts on a metric.

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
