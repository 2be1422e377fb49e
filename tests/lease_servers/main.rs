//! Lease servers as processes of the program: storage, protocol, configuration, and recovery after all are
//! killed at once.

mod cluster;
mod configuration;
mod disk_full;
mod protocol;
mod recovery;
