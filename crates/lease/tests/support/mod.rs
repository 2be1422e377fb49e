//! Helpers for the tests of lease clients.

mod server;

pub use server::Server;
