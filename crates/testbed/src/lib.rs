#![forbid(unsafe_code)]
//! honeyknot's testbed: emulated endpoints, discovery, front proxy and clients on loopback, and scenarios on them.
//!
//! The emulators fail on command; relays are real processes of the program `honeyknot-relay`. The emulators count what
//! they have seen ([`report`]), and every verdict rests on those counts alone. Nothing of this is linked into the relay.

pub mod emulators;
pub mod fleet;
pub mod leases;
pub mod report;
pub mod scenarios;
