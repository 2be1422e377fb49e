//! Card servers as this relay knows them: the roll and who asks for it, the roll as held, probes, delays, sites.
//!
//! In come discovery's answers and what probes bring; out go events for the decisions, through the hub. When discovery is
//! called is up to `honeyknot_discovery`, what is done with a card server up to the decisions.

pub mod discovery_client;
pub(in crate::relay) mod endpoint_list;
pub mod health_check;
pub(in crate::relay) mod message_latency;
pub(in crate::relay) mod shared_health_check;
pub(in crate::relay) mod zone_failover;
