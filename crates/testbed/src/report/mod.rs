//! What clients and endpoints have seen, and the verdict on it.

pub mod observations;
pub mod site;
