//! A granted lease and its fencing token.

use serde::{Deserialize, Serialize};

/// A fencing token. Each grant of a task has a greater token than all earlier grants of the same task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

/// One held slot of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the holder.
    pub holder: String,
    /// Nonce of the acquire request, by which a request that is sent again is granted only once.
    pub nonce: u64,
    /// Fencing token of this grant.
    pub token: FencingToken,
    /// Number of renewals.
    pub renewals: u64,
    /// Whether renewals are rejected, so that the lease expires.
    pub revoked: bool,
}
