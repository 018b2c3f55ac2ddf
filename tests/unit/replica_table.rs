//! Tests of the table of peer processes and of the counts that it updates.

use super::*;

fn table_with_counts() -> (Rc<ReplicaTable>, Rc<ReplicaCounts>) {
    let counts = Rc::new(ReplicaCounts::default());
    (ReplicaTable::new("n0", 1024, counts.clone()), counts)
}

#[test]
fn counts_follow_added_and_removed_peers() {
    let (table, counts) = table_with_counts();
    assert_eq!((counts.index(), counts.count(), counts.has_successor()), (0, 1, false));
    let (predecessor, _outbox) = table.add(PeerRole::Predecessor, true);
    let (successor, _other_outbox) = table.add(PeerRole::Successor, true);
    assert_eq!((counts.index(), counts.count(), counts.has_successor()), (1, 3, true));
    table.remove(predecessor);
    assert_eq!((counts.index(), counts.count(), counts.has_successor()), (0, 2, true));
    table.remove(successor);
    table.remove(successor);
    assert_eq!((counts.index(), counts.count(), counts.has_successor()), (0, 1, false));
}

#[test]
fn table_is_full_at_max_peers() {
    let (table, _counts) = table_with_counts();
    let peers: Vec<_> = (0..MAX_PEERS).map(|_| table.add(PeerRole::Successor, true)).collect();
    assert!(table.is_full());
    table.remove(peers[0].0);
    assert!(!table.is_full());
}

#[test]
fn only_peer_with_full_outbox_is_removed() {
    let (table, counts) = table_with_counts();
    let (_, mut full_outbox) = table.add(PeerRole::Successor, true);
    let (_, mut read_outbox) = table.add(PeerRole::Successor, true);
    for _ in 0..=OUTBOX_CAPACITY {
        table.notify_maintenance(&"w0".into(), true);
        let expected = Message::MaintenanceChanged { endpoint: "w0".into(), in_maintenance: true };
        assert_eq!(read_outbox.messages.try_recv().expect("a message"), expected);
    }
    assert_eq!(counts.count(), 2);
    let received = std::iter::from_fn(|| full_outbox.messages.try_recv().ok()).count();
    assert_eq!(received, OUTBOX_CAPACITY);
    assert!(full_outbox.messages.is_closed(), "the outbox of a removed peer is still open");
}

/// Guards against a peer that holds up the process or takes memory without limit because it reads no ids.
#[test]
fn only_peer_that_reads_no_ids_is_removed() {
    let (table, counts) = table_with_counts();
    let (_, stuck_outbox) = table.add(PeerRole::Successor, true);
    let (_, _earlier_version_outbox) = table.add(PeerRole::Successor, false);
    for hash in 0..MAX_PENDING_IDS as u64 {
        table.notify_request_id(hash);
    }
    assert_eq!(counts.count(), 3);
    table.notify_request_id(0);
    assert_eq!(counts.count(), 2);
    assert!(stuck_outbox.messages.is_closed());
}
