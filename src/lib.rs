#![forbid(unsafe_code)]
#![doc = include_str!("../README.md")]

pub mod admin;
pub mod config_summary;
pub mod gossip;
pub mod inspect;
pub mod lease_client;
pub mod lease_server;
pub mod logger;
pub mod relay;
pub mod settings;
pub mod simulator;
