//! Membership and health observations of a fleet of relays, exchanged by gossip.
//!
//! A [`GossipMember`] is one relay's member of the fleet. Membership follows the SWIM protocol ([`foca`]);
//! the state that each member publishes is piggybacked on SWIM's messages. The caller passes in datagrams and
//! the time, and gets datagrams to send and a [`GossipView`]. The crate does no I/O, reads no clock and draws
//! every random number from a seed.
//!
//! A view lists the living members, and for each endpoint the observations of its assigned probers with their
//! ages. Outdated observations, and those of members that are not assigned, are left out. The crate makes no
//! decisions from them. The view of a relay that receives no datagrams lists only that relay, which is a
//! normal state.
//!
//! A member sends 4 datagrams of at most [`MAX_DATAGRAM_BYTES`] every 150 ms, whatever the number of members,
//! and one SWIM probe every 800 ms. It holds one state per living member, up to [`MAX_MEMBERS`].

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
