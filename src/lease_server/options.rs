//! Command line options of a lease server.

use std::path::PathBuf;

use honeyknot_lease_consensus::ReplicaId;

/// Which lease server to run.
#[derive(Clone, Debug, clap::Args)]
pub struct LeaseServerOptions {
    /// Number of this lease server in the configuration file.
    #[arg(long)]
    pub number: ReplicaId,
    /// Folder of this lease server's database; no other lease server may use it.
    #[arg(long)]
    pub folder: PathBuf,
    /// Create the database of a new fleet, whose fencing tokens are greater than this value. If an earlier
    /// fleet has lost a majority of its databases, create all of them anew, with a value above all tokens
    /// granted before, and only after the longest lease has expired.
    #[arg(long = "found", value_name = "TOKENS_FROM")]
    pub bootstrap_tokens_from: Option<u64>,
}
