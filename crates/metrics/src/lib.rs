#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]
//! Metrics of a relay and their formats at Graphite and collectd.
//!
//! [`MetricsRegistry`] holds counters, gauges and histograms; updating it allocates nothing once a series exists. A
//! [`MetricsSnapshot`] is its state at a point in time. [`graphite`] and [`collectd`] encode snapshots in the published formats,
//! [`StoredMetrics`](stored::StoredMetrics) and [`spool_record`] are the forms on disk. [`MetricsConfig`] is the operator file.
//! Nothing here opens a socket, reads a clock or a file.

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
