//! Scenarios in which a site is lost and regained: with real relays, and on a virtual clock.

pub mod run;
pub mod scenario;
pub mod simulation;
