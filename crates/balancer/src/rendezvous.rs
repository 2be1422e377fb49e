//! Weighted rendezvous hashing: all balancers that use the same salt and weights put the endpoints in the
//! same order, without communication.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash of an endpoint's id.
pub(crate) const ENDPOINT_HASH_SEED: u64 = 0;
/// Seed of the hash of a client's session key.
pub(crate) const SESSION_KEY_HASH_SEED: u64 = 1;
/// Seed of the hash of an affinity group.
pub(crate) const GROUP_HASH_SEED: u64 = 2;

/// Number of random bits in a draw: the precision of an `f64`.
const DRAW_BITS: u32 = 53;

/// Returns a number from a uniform distribution over the open interval (0, 1), determined by salt and value.
pub fn uniform_draw(salt: u64, value: u64) -> f64 {
    let hash = xxh3_64_with_seed(&salt.to_le_bytes(), value);
    ((hash >> (u64::BITS - DRAW_BITS)) as f64 + 0.5) / (1u64 << DRAW_BITS) as f64
}

/// Returns an endpoint's score for a salt. The endpoint with the lowest score comes first.
///
/// Each endpoint comes first with a probability proportional to its weight. With a weight of 0, its score is
/// infinite.
pub fn rendezvous_score(salt: u64, endpoint_hash: u64, weight: f64) -> f64 {
    -uniform_draw(salt, endpoint_hash).ln() / weight
}
