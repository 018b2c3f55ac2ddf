use super::hash;
use std::collections::BTreeSet;

#[test]
fn all_versions_agree_on_the_hash() {
    // As the counts' names are: a gateway of another version must find the same ones.
    assert_eq!(hash(&[]), 0x42b8_712a_6ae5_9b6a);
    assert_eq!(hash(&[b"customer", &[1, 0]]), hash(&[b"custom", b"er", &[1, 0]]));
}

#[test]
fn short_inputs_spread_over_the_whole_range() {
    let hashes: Vec<u64> = (0..1024u16).map(|i| hash(&[&i.to_le_bytes()])).collect();
    assert!(hashes.iter().all(|h| *h < 1 << 63));
    let sixteenths: BTreeSet<u64> = hashes.iter().map(|h| h >> 59).collect();
    assert_eq!(sixteenths.len(), 16);
}
