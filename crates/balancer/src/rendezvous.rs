//! Weighted rendezvous hashing. All who use the same salt and weights see the endpoints in the same order,
//! without communication. No I/O, no clock.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash of an endpoint's id.
pub(crate) const ENDPOINT_HASH_SEED: u64 = 0;
/// Seed of the hash of a client's session key.
pub(crate) const SESSION_KEY_HASH_SEED: u64 = 1;
/// Seed of the hash of an affinity group.
pub(crate) const GROUP_HASH_SEED: u64 = 2;

/// Fraction bits of a draw, as many as a float has.
const DRAW_BITS: u32 = 53;

/// A number uniform on 0 to 1, both excluded, that follows from a salt and a value alone.
pub fn uniform_draw(salt: u64, value: u64) -> f64 {
    let hash = xxh3_64_with_seed(&salt.to_le_bytes(), value);
    ((hash >> (u64::BITS - DRAW_BITS)) as f64 + 0.5) / (1u64 << DRAW_BITS) as f64
}

/// An endpoint's place in the order of a salt; the lowest place comes first.
///
/// Each endpoint comes first with a probability in proportion to its weight; one of weight 0 has an infinite
/// place.
pub fn rendezvous_order(salt: u64, endpoint_hash: u64, weight: f64) -> f64 {
    -uniform_draw(salt, endpoint_hash).ln() / weight
}
