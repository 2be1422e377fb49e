//! Weighted rendezvous hashing, as a race: each endpoint's time to the line is drawn from its hash with a
//! salt, and its weight is its speed. All who hold the same salt and weights see the same order without a
//! word. No I/O, no clock.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A uniform draw from 0 to 1 that everyone who holds the same two numbers sees alike.
pub fn uniform_draw(salt: u64, of: u64) -> f64 {
    let hash = xxh3_64_with_seed(&salt.to_le_bytes(), of);
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// When an endpoint crosses the line: the first is drawn in proportion to the weights. One of no weight never
/// does.
pub fn rendezvous_order(salt: u64, id_hash: u64, weight: f64) -> f64 {
    -uniform_draw(salt, id_hash).ln() / weight
}
