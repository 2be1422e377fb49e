#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]
//! Metrics of a relay and their export formats for Graphite and collectd.
//!
//! [`MetricsRegistry`] holds counters, gauges and histograms; updating an existing series allocates no
//! memory, except for a dynamic tag, whose value is copied to look the series up. A [`MetricsSnapshot`] is
//! the registry's state at a point in time. [`graphite`] and [`collectd`] encode snapshots in the published
//! formats of these systems. [`StoredMetrics`](stored::StoredMetrics) and [`spool_record`] are the formats
//! on disk. [`MetricsConfig`] is the content of the operator file. The crate does no I/O and reads no
//! clock.

pub mod collectd;
pub mod config;
pub mod families;
pub mod graphite;
pub mod registry;
pub mod snapshot;
pub mod spool_record;
pub mod stored;

pub use config::MetricsConfig;
pub use families::MetricFamily;
pub use registry::MetricsRegistry;
pub use snapshot::{MetricValue, MetricsSnapshot, Sample};
