#![forbid(unsafe_code)]
//! honeyknot's testbed: emulators of endpoints, discovery, the front proxy and clients on loopback, and test
//! scenarios.
//!
//! Faults can be injected into the emulators. Relays are real processes of the program `honeyknot-relay`. The
//! emulators count what they observe ([`report`]), and the checks of a run use those counts alone. The relay does
//! not link this crate.

pub mod emulators;
pub mod fleet;
pub mod leases;
pub mod report;
pub mod scenarios;
