//! Scenarios in which a zone fails and recovers, run with real relay processes or simulated on a virtual
//! clock.
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod fault_injector;
pub mod run;
pub mod scenario;
pub mod simulation;
