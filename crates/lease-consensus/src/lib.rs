#![forbid(unsafe_code)]
//! One keeper of leases, without I/O: the consensus engine round the lease book and its watchman.
//!
//! Ticks, letters of other keepers and asks go into a [`Keeper`] with the time. What has to be on disk comes out as a
//! [`Write`]; once that is there, letters and answers come out as [`Out`]s. It opens no file or socket and reads no clock, and the
//! same events give the same actions: there is no chance in it. Why this engine, and what is promised, stands in
//! `docs/design/leases.md`.

mod keeper;
mod letter;
mod log;

pub use keeper::{Ask, Keeper, Lost, Out, Settings, Told, View};
pub use letter::{Entry, Letter, Snapshot, State};
pub use log::{Kept, Write};

/// Microseconds.
pub type Micros = honeyknot_lease::Micros;

/// The number of a keeper, from 1.
pub type KeeperId = u64;
