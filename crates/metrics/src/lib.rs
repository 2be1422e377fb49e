#![forbid(unsafe_code)]
//! What a relay counts, and how that is told to Graphite and collectd.
//!
//! [`MetricsRegistry`] holds totals, gauges and histograms; the relay's thread adds to it by plain calls that allocate nothing
//! once a series exists. A [`MetricsSnapshot`] is what it held at a point in time. [`graphite`] and [`collectd`] turn readings
//! into bytes by the published formats. [`MetricsConfig`] is what the operators say about sinks. Nothing here opens a socket, reads a clock or a file.

pub mod collectd;
pub mod config;
pub mod families;
pub mod graphite;
pub mod registry;
pub mod spool_record;
pub mod stored;

pub use config::MetricsConfig;
pub use families::MetricFamily;
pub use registry::{MetricValue, MetricsRegistry, MetricsSnapshot, Sample};
