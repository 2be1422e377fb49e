//! Membership and health observations of a fleet of relays, exchanged by gossip.
//!
//! [`GossipMember`] is the part of one relay. Membership is SWIM's ([`foca`]), which does no I/O of its own; the state that
//! each member publishes travels on its messages. Datagrams and the time go in; datagrams to send and a [`GossipView`] come
//! out. It does no I/O, reads no clock and draws every random number from its seed.
//!
//! A view lists the living members and what the assigned probers of each endpoint have observed, each estimate with its age.
//! Outdated observations, and those of members that are not assigned, are left out. Nothing is decided here. The view of a
//! relay that receives nothing lists itself alone, which is an ordinary state.
//!
//! A member sends 4 datagrams of at most [`MAX_DATAGRAM_BYTES`] each 150 ms, whatever the number of members, and one SWIM
//! probe each 800 ms. Memory grows by one state a living member, up to [`MAX_MEMBERS`].

#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod aggregation;
mod assignment;
mod broadcast;
mod config;
mod counters;
mod datagram;
mod engine;
mod engine_runtime;
mod engine_settings;
mod member_id;
mod member_state;
mod member_states;
mod observation;
mod view;

pub use aggregation::AggregatedHealth;
pub use assignment::{assigned_probers, endpoint_number};
pub use config::{GossipConfig, NetworkNotTrusted};
pub use counters::GossipCounters;
pub use datagram::{DatagramError, MAX_DATAGRAM_BYTES, OutgoingDatagram};
pub use engine::GossipMember;
pub use engine_settings::MAX_MEMBERS;
pub use member_id::MemberId;
pub use member_state::{MAX_OBSERVATIONS, STATE_LIFETIME_MICROS};
pub use observation::{HealthCheckOutcome, HealthObservation};
pub use view::{GossipView, MemberObservation};
