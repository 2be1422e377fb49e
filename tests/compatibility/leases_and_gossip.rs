//! The lease server's database, lease and consensus frames, and gossip datagrams.
//!
//! Each module constructs the values of one format at its top; its tests follow below.

#[path = "leases_and_gossip/fixture.rs"]
mod fixture;
#[path = "leases_and_gossip/gossip_datagrams.rs"]
mod gossip_datagrams;
#[path = "leases_and_gossip/lease_database.rs"]
mod lease_database;
#[path = "leases_and_gossip/lease_frames.rs"]
mod lease_frames;
#[path = "leases_and_gossip/lease_table.rs"]
mod lease_table;
#[path = "leases_and_gossip/replica_messages.rs"]
mod replica_messages;
