#![forbid(unsafe_code)]
//! honeyknot's laboratory: a world of its own on loopback, and experiments on it.
//!
//! Card servers, the roll, the front layer and clients are stand-ins of this repository that fail on command; relays
//! are real processes of the program `honeyknot-relay`. The stand-ins keep books ([`books`]) of what they have seen, and
//! every verdict rests on those alone. Nothing of this is linked into the relay.

pub mod asked;
pub mod books;
pub mod day;
pub mod fleet;
pub mod leases;
pub mod model;
pub mod scenario;
pub mod simulated;
pub mod world;
