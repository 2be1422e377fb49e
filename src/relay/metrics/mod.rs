//! What is counted, and who gets it: the book, counts that last, sinks, and readings that wait for them.
//!
//! In come plain calls from where things happen; out go readings. Nothing here acts on a figure.

pub(in crate::relay) mod exporter;
pub(in crate::relay) mod labels;
pub(in crate::relay) mod persistent_counters;
pub(in crate::relay) mod recorder;
pub(in crate::relay) mod spool;
pub(in crate::relay) mod spool_queue;
