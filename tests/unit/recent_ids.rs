//! Tests of the bounded set of transaction ids.

use super::*;

/// Guards against memory that grows with each request, and against ids that are forgotten too soon.
#[test]
fn oldest_hash_is_dropped_from_full_set() {
    let mut ids = RecentIds::new(3);
    for hash in [1, 2, 2, 3] {
        ids.insert(hash);
    }
    assert_eq!(ids.iter().collect::<Vec<_>>(), [1, 2, 3]);
    ids.insert(4);
    assert!(!ids.contains(1) && ids.contains(2) && ids.contains(4));
    for hash in 5..1000 {
        ids.insert(hash);
    }
    assert_eq!(ids.iter().collect::<Vec<_>>(), [997, 998, 999]);
    assert_eq!(ids.hashes.len(), 3);
}
