#![forbid(unsafe_code)]
//! What a relay counts, and how that is told to Graphite and collectd.
//!
//! [`Book`] holds totals, gauges and histograms; the relay's thread adds to it by plain calls that allocate nothing
//! once a series exists. A [`Reading`] is what it held at a point in time. [`graphite`] and [`collectd`] turn readings
//! into bytes by the published formats. [`Plan`] is what the operators say about sinks. Nothing here opens a socket, reads a clock or a file.

pub mod book;
pub mod collectd;
pub mod graphite;
pub mod names;
pub mod plan;
pub mod records;
pub mod state;

pub use book::{Book, Point, Reading, Value};
pub use names::Family;
pub use plan::Plan;
