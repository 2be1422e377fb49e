//! Scenarios in which a site is lost and regained: with real relays, and on a virtual clock.

mod fault_injector;
pub mod run;
pub mod scenario;
pub mod simulation;
