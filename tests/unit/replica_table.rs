//! The table of live peer processes and the counts that follow it.

use super::*;

fn table_with_counts() -> (Rc<ReplicaTable>, Rc<ReplicaCounts>) {
    let counts = Rc::new(ReplicaCounts::default());
    (ReplicaTable::new("n0", 1024, counts.clone()), counts)
}

#[test]
fn counts_follow_the_peers_that_are_added_and_removed() {
    let (table, counts) = table_with_counts();
    assert_eq!((counts.index(), counts.count(), counts.has_successor()), (0, 1, false));
    let (predecessor, _outbox) = table.add(PeerRole::Predecessor);
    let (successor, _other_outbox) = table.add(PeerRole::Successor);
    assert_eq!((counts.index(), counts.count(), counts.has_successor()), (1, 3, true));
    table.remove(predecessor);
    assert_eq!((counts.index(), counts.count(), counts.has_successor()), (0, 2, true));
    table.remove(successor);
    table.remove(successor);
    assert_eq!((counts.index(), counts.count(), counts.has_successor()), (0, 1, false));
}

#[test]
fn table_is_full_at_its_bound() {
    let (table, _counts) = table_with_counts();
    let peers: Vec<_> = (0..MAX_PEERS).map(|_| table.add(PeerRole::Successor)).collect();
    assert!(table.is_full());
    table.remove(peers[0].0);
    assert!(!table.is_full());
}

#[test]
fn peer_with_full_outbox_is_removed_and_others_stay() {
    let (table, counts) = table_with_counts();
    let (_, mut stuck) = table.add(PeerRole::Successor);
    let (_, mut reading) = table.add(PeerRole::Successor);
    for _ in 0..=OUTBOX_CAPACITY {
        table.notify_maintenance(&"w0".into(), true);
        let expected = Message::MaintenanceChanged { endpoint: "w0".into(), in_maintenance: true };
        assert_eq!(reading.try_recv().expect("a message"), expected);
    }
    assert_eq!(counts.count(), 2);
    let received = std::iter::from_fn(|| stuck.try_recv().ok()).count();
    assert_eq!(received, OUTBOX_CAPACITY);
    assert!(stuck.is_closed(), "its connection ends");
}
