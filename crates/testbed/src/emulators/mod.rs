//! Emulators of endpoints, clients, discovery and the front proxy, and a launcher of real relay processes.
//!
//! All emulators run in one thread of this process and share one [`environment::Environment`]; faults can be
//! injected into each of them.
//!
//! [`crate::fleet`] has its own emulators of endpoints, clients and discovery, each in a separate process
//! (`cards`, `clients`, `list`). They share [`endpoint_model`], [`protocol`] and
//! [`relay_process::relay_settings`] with this module; the listeners, the handling of connections and the
//! watches of discovery are still duplicated.
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
