use super::stable_hash;
use std::collections::BTreeSet;

#[test]
fn hash_is_the_same_in_all_versions() {
    // Names of counts are hashes, and gateways of all versions must use the same names.
    assert_eq!(stable_hash(&[]), 0x42b8_712a_6ae5_9b6a);
    assert_eq!(stable_hash(&[b"customer", &[1, 0]]), stable_hash(&[b"custom", b"er", &[1, 0]]));
}

#[test]
fn short_inputs_spread_over_the_whole_range() {
    let hashes: Vec<u64> = (0..1024u16).map(|i| stable_hash(&[&i.to_le_bytes()])).collect();
    assert!(hashes.iter().all(|hash| *hash < 1 << 63));
    let sixteenths: BTreeSet<u64> = hashes.iter().map(|hash| hash >> 59).collect();
    assert_eq!(sixteenths.len(), 16);
}
