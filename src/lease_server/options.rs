//! Command line options of a lease server.

use std::path::PathBuf;

use honeyknot_lease_consensus::ReplicaId;

/// Which lease server to run.
#[derive(Clone, Debug, clap::Args)]
pub struct LeaseServerOptions {
    /// Its number in the file.
    #[arg(long)]
    pub number: ReplicaId,
    /// The folder that is this server's alone.
    #[arg(long)]
    pub folder: PathBuf,
    /// Create the database, once: the fleet is new, and tokens rise from here. Where an earlier fleet lost its servers, create all
    /// anew, above all tokens that were ever given, and after the longest lease has run out.
    #[arg(long = "found", value_name = "TOKENS_FROM")]
    pub bootstrap_tokens_from: Option<u64>,
}
