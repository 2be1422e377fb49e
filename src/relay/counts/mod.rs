//! What is counted, and who gets it: the book, counts that last, sinks, and readings that wait for them.
//!
//! In come plain calls from where things happen; out go readings. Nothing here acts on a figure.

pub(in crate::relay) mod lasting;
pub(in crate::relay) mod meter;
pub(in crate::relay) mod sinks;
pub(in crate::relay) mod spool;
pub(in crate::relay) mod waiting;
