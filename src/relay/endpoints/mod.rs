//! What this relay knows about endpoints: the discovery client, the endpoint list, health checks, message
//! latencies and zone failover.
//!
//! The modules turn responses of discovery and results of health checks into events for the balancer. When
//! discovery is polled is decided in `honeyknot_discovery`, and which endpoint a request is sent to in the
//! balancer.

#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

pub mod discovery_client;
pub(in crate::relay) mod endpoint_list;
pub mod health_check;
pub(in crate::relay) mod message_latency;
pub(in crate::relay) mod shared_health_check;
pub(in crate::relay) mod zone_failover;
