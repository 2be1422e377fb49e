#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]
//! The load balancer: selects an endpoint for each request and decides on retries, rejections and
//! connection migration.
//!
//! [`Balancer`] takes events together with the current time and returns actions ([`Event`], [`Action`]). No
//! module of this crate does I/O or reads a clock, and every random number comes from a seeded generator. The
//! same seed and events therefore give the same actions, whether a relay, a simulator or a test drives the
//! balancer.
//!
//! - Input and output types: [`event`], [`action`], [`ids`], [`settings`].
//! - State and event dispatch: [`balancer`].
//! - Event handlers, in `impl Balancer` blocks: `discovery`, `request_state`, `routing`, `ranking`,
//!   `admission`, `affinity`, `retry`, `health_check`, `connection_shedding`, `migration`,
//!   `rebalancing`.
//! - Load estimates: `load_estimate`, `fleet_estimate`. State of one endpoint: `endpoint_record`.
//! - Components that do not depend on the balancer's state: [`circuit_breaker`], [`outlier_detection`],
//!   [`rendezvous`], [`slow_start`], [`unreported_load`], [`zone_affinity`].
//! - [`maintenance`] changes discovery's endpoint list before the balancer sees it.

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
