//! A hash that is the same in every process and version, for values that all gateways must agree on.

use std::hash::Hasher;

/// Returns the hash of the concatenated parts, below 2^63.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    for part in parts {
        hasher.write(part);
    }
    // FNV mixes the high bits of short inputs poorly; one multiply-shift round spreads them.
    let hash = hasher.finish();
    (hash ^ (hash >> 32)).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 1
}

#[cfg(test)]
#[path = "../../tests/unit/stable_hash.rs"]
mod tests;
