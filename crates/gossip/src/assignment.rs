//! Assigns probers to endpoints by rendezvous hashing. Members with the same list of living members get the
//! same result.

use honeyknot_balancer::EndpointId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the number by which members refer to an endpoint in messages: the upper half of the XXH3 hash of
/// its id.
pub fn endpoint_number(id: &EndpointId) -> u32 {
    (xxh3_64(id.0.as_bytes()) >> 32) as u32
}

/// Returns the `probers` members with the lowest hashes for an endpoint, which are assigned to check it.
///
/// When a member fails, only the endpoints assigned to it get another prober.
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
