#![forbid(unsafe_code)]
//! The decision module: which card server a request goes to, whether it is tried again, what is turned away.
//!
//! Events go in with the time, actions come out ([`Event`], [`Action`]); [`Balancer`] decides. It never does
//! I/O, never reads a clock and draws every random number from its seed, so that sockets, the simulator's
//! wire, a test or a virtual clock can drive it alike, and the same events give the same actions.

pub mod action;
mod admission;
mod affinity;
pub mod balancer;
pub mod circuit_breaker;
mod discovery;
mod endpoint_record;
mod estimates;
pub mod event;
mod health_check;
pub mod ids;
mod load_estimate;
pub mod maintenance;
mod migration;
pub mod outlier_detection;
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
    AffinityGroup, AttemptId, CellId, ClassId, EndpointId, KindId, Micros, RequestId, SessionKey, TenantId,
    TimerToken, ZoneId, ZoneSet,
};
pub use maintenance::MaintenanceOverlay;
pub use settings::{
    DeduplicationScope, DiscoveryMode, ForwardMode, Idempotency, LoadReportSource, ObjectiveWeights,
    Permissions, Prices, RequestClass, Rules, Settings, Tenant, WeightSemantics,
};
pub use settings_check::SettingsError;
