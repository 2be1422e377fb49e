#![forbid(unsafe_code)]
#![doc = include_str!("../README.md")]

pub mod admin;
pub mod inspect;
pub mod keeper;
pub mod leases;
pub mod logger;
pub mod neighbors;
pub mod relay;
pub mod wire;

pub use honeyknot_balancer::{Balancer, Withheld, decide, interface};
