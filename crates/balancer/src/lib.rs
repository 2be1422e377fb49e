#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]
//! The balancer: which endpoint a request goes to, whether it is attempted again, what is rejected.
//!
//! Events go in with the time, actions come out ([`Event`], [`Action`]); [`Balancer`] decides. It never does
//! I/O, never reads a clock and draws every random number from its seed, so that sockets, the simulator's
//! wire, a test or a virtual clock can drive it alike, and the same events give the same actions.
//!
//! - Types that go in and out: [`event`], [`action`], [`ids`], [`settings`].
//! - State and dispatch of events: [`balancer`].
//! - Handlers, spread over `impl Balancer` blocks: `discovery`, `request_state`, `routing`, `ranking`,
//!   `admission`, `affinity`, `retry`, `health_check`, `connection_shedding`, `migration`,
//!   `rebalancing`.
//! - The estimates that they use: `load_estimate`, `fleet_estimate`; what is known of one endpoint:
//!   `endpoint_record`.
//! - Parts that can be used alone: [`circuit_breaker`], [`outlier_detection`], [`rendezvous`],
//!   [`slow_start`], [`unreported_load`], [`zone_affinity`].
//! - [`maintenance`] stands between discovery and the balancer.

pub mod action;
mod admission;
mod affinity;
pub mod balancer;
pub mod circuit_breaker;
mod connection_shedding;
mod discovery;
mod endpoint_record;
pub mod event;
mod fleet_estimate;
mod health_check;
pub mod ids;
mod load_estimate;
pub mod maintenance;
mod migration;
pub mod outlier_detection;
mod ranking;
mod rebalancing;
pub mod rendezvous;
mod request_state;
mod retry;
mod routing;
pub mod settings;
mod settings_check;
pub mod slow_start;
pub mod unreported_load;
pub mod zone_affinity;

pub use action::Action;
pub use balancer::Balancer;
pub use event::{
    ConnectionUpdate, Endpoint, EndpointState, EndpointUpdate, Event, LoadReport, Outcome, Request,
};
pub use ids::{
    AffinityGroup, AttemptId, CellId, ClassId, EndpointId, MachineTypeId, Micros, RequestId, SessionKey,
    TenantId, TimerToken, ZoneId, ZoneSet,
};
pub use maintenance::MaintenanceOverlay;
pub use settings::{
    DeduplicationScope, DiscoveryMode, ForwardMode, Idempotency, LoadReportSource, ObjectiveWeights,
    Permissions, Prices, RequestClass, Rules, Settings, Tenant, WeightSemantics,
};
pub use settings_check::SettingsError;
