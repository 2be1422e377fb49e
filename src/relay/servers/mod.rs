//! Card servers as this relay knows them: the roll and who asks for it, the roll as held, probes, delays, sites.
//!
//! In come discovery's answers and what probes bring; out go events for the decisions, through the hub. When discovery is
//! called is up to `honeyknot_discovery`, what is done with a card server up to the decisions.

pub(in crate::relay) mod delays;
pub(in crate::relay) mod held;
pub mod probe;
pub mod roll;
pub(in crate::relay) mod sites;
pub(in crate::relay) mod witness;
