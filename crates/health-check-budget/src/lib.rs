#![forbid(unsafe_code)]
//! What all relays together may cost the card servers, where they know of each other: now the one budget of probes.
//!
//! It takes estimates of the neighbourhood as they come and says who may ask; it places nothing, and the decision module and
//! its rules stay above it. With nobody heard it allows what a relay alone does. No I/O, no clock, draws from the seed.

mod probes;

pub use probes::{Asking, Probes};
