//! Assignment of probers to endpoints by rendezvous hashing, with the same result at every member.

use honeyknot_balancer::EndpointId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the number by which members refer to an endpoint.
pub fn endpoint_number(id: &EndpointId) -> u32 {
    (xxh3_64(id.0.as_bytes()) >> 32) as u32
}

/// Returns the members, out of these, that are assigned to check an endpoint: those with the lowest hashes.
///
/// The loss of a member changes only its own assignments.
pub fn assigned_probers(members: &[u64], endpoint: u32, probers: usize) -> Vec<u64> {
    let mut by_hash: Vec<(u64, u64)> = members
        .iter()
        .map(|member| (xxh3_64_with_seed(&member.to_le_bytes(), u64::from(endpoint)), *member))
        .collect();
    let probers = probers.min(by_hash.len());
    if probers > 0 && probers < by_hash.len() {
        by_hash.select_nth_unstable(probers - 1);
    }
    by_hash.truncate(probers);
    by_hash.sort_unstable();
    by_hash.into_iter().map(|(_, member)| member).collect()
}
