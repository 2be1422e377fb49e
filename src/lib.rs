#![forbid(unsafe_code)]
#![doc = include_str!("../README.md")]

pub mod decide;
pub mod interface;
pub mod logger;
pub mod relay;
pub mod wire;

pub use decide::Balancer;
