//! Emulators of endpoints, clients, discovery and the front proxy, and relays as real processes.
//!
//! All but the relays live in one thread of this process and share one environment; each can be made to fail on command.
//!
//! [`crate::fleet`] has emulators of endpoints, clients and discovery of its own, one process each (`cards`, `clients`, `list`,
//! `relays`). They share [`endpoint_model`], [`protocol`] and the relay's settings with this module; listeners, the life of a
//! connection and the watch of discovery still stand twice.
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

pub mod accounting;
mod addresses;
pub mod client;
pub mod discovery;
pub mod emulated_endpoint;
pub mod endpoint;
pub mod endpoint_model;
pub mod environment;
pub mod front_proxy;
pub mod protocol;
pub mod relay_process;
