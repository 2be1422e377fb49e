//! Endpoints as this relay knows them: the discovery client, the endpoint list, health checks, message latencies
//! and zone failover.
//!
//! Responses of discovery and results of health checks come in; events for the balancer go out through the relay's
//! state. When discovery is polled is decided in `honeyknot_discovery`, where requests go in the balancer.

#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

pub mod discovery_client;
pub(in crate::relay) mod endpoint_list;
pub mod health_check;
pub(in crate::relay) mod message_latency;
pub(in crate::relay) mod shared_health_check;
pub(in crate::relay) mod zone_failover;
