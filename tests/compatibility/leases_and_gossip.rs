//! The lease server's database, lease and consensus frames, gossip datagrams.
