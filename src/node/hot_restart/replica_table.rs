//! Table of the peer processes that are connected to this process.

use crate::node::hot_restart::{
    message::{Message, RequestIdHash},
    replica_counts::ReplicaCounts,
};
use oliverack::EndpointId;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};
use tokio::sync::{Notify, mpsc};

/// Maximum number of peer processes at a time; a hot restart needs one.
pub const MAX_PEERS: usize = 4;
/// Maximum number of descriptors that hot restart takes: one for each peer, the listener, and a connection just
/// accepted.
pub const MAX_DESCRIPTORS: usize = MAX_PEERS + 2;
/// Maximum number of messages that wait to be written to a peer. A peer with more is disconnected.
const OUTBOX_CAPACITY: usize = 64;
/// Maximum number of transaction ids that wait to be written to a peer. A peer with more is disconnected.
const MAX_PENDING_IDS: usize = 8192;

/// Role of a peer, by the order in which the two processes started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRole {
    /// The peer started before this process.
    Predecessor,
    /// The peer started after this process.
    Successor,
}

/// Identifies a peer; never reused for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(u64);

/// Transaction ids that wait to be written to a peer, all in one message.
#[derive(Debug, Default)]
pub struct PendingIds {
    hashes: RefCell<Vec<RequestIdHash>>,
    added: Notify,
}

impl PendingIds {
    /// Adds an id; returns false if too many are waiting.
    fn push(&self, hash: RequestIdHash) -> bool {
        let mut hashes = self.hashes.borrow_mut();
        hashes.push(hash);
        self.added.notify_one();
        hashes.len() <= MAX_PENDING_IDS
    }

    /// Waits for ids, and returns all that are waiting in a message.
    pub async fn next_message(&self) -> Message {
        loop {
            let hashes = self.hashes.take();
            if !hashes.is_empty() {
                return Message::RequestIds { hashes };
            }
            self.added.notified().await;
        }
    }
}

struct Peer {
    role: PeerRole,
    outbox: mpsc::Sender<Message>,
    /// `None` if the peer does not know the message for transaction ids.
    pending_ids: Option<Rc<PendingIds>>,
}

/// What is to be written to a peer.
pub struct Outbox {
    /// Messages to write; they end when the peer is removed.
    pub messages: mpsc::Receiver<Message>,
    /// Transaction ids to write; `None` if the peer does not know the message for them.
    pub pending_ids: Option<Rc<PendingIds>>,
}

/// The peer processes of this process, and the gateway that they serve.
pub struct ReplicaTable {
    /// Name of the gateway that all peers serve.
    gateway_name: String,
    max_message_bytes: u64,
    peers: RefCell<BTreeMap<PeerId, Peer>>,
    next_id: Cell<u64>,
    counts: Rc<ReplicaCounts>,
}

impl ReplicaTable {
    /// Creates an empty table. Peers may send messages of up to `max_message_bytes`. `counts` is updated with the
    /// table.
    pub fn new(gateway_name: &str, max_message_bytes: usize, counts: Rc<ReplicaCounts>) -> Rc<Self> {
        Rc::new(Self {
            gateway_name: gateway_name.to_owned(),
            max_message_bytes: max_message_bytes as u64,
            peers: RefCell::default(),
            next_id: Cell::new(0),
            counts,
        })
    }

    /// Returns the name of the gateway that this process and its peers serve.
    pub fn gateway_name(&self) -> &str {
        &self.gateway_name
    }

    /// Returns the maximum length of a message from a peer.
    pub fn max_message_bytes(&self) -> u64 {
        self.max_message_bytes
    }

    /// Returns whether the table has the maximum number of peers.
    pub fn is_full(&self) -> bool {
        self.peers.borrow().len() >= MAX_PEERS
    }

    /// Adds a peer, which may know the message for transaction ids. Returns its id and what is to be written to it.
    pub fn add(&self, role: PeerRole, shares_request_ids: bool) -> (PeerId, Outbox) {
        let (outbox, messages) = mpsc::channel(OUTBOX_CAPACITY);
        let pending_ids = shares_request_ids.then(Rc::<PendingIds>::default);
        let id = PeerId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        self.peers.borrow_mut().insert(id, Peer { role, outbox, pending_ids: pending_ids.clone() });
        self.update_counts();
        (id, Outbox { messages, pending_ids })
    }

    /// Notifies all peers that know the message of a request that may run and must not run again. Removes peers to which
    /// too many ids wait to be written.
    pub fn notify_request_id(&self, hash: RequestIdHash) {
        let mut peers = self.peers.borrow_mut();
        if peers.is_empty() {
            return;
        }
        peers.retain(|_, peer| peer.pending_ids.as_ref().is_none_or(|pending_ids| pending_ids.push(hash)));
        drop(peers);
        self.update_counts();
    }

    /// Removes a peer. Does nothing if it is already removed.
    pub fn remove(&self, id: PeerId) {
        self.peers.borrow_mut().remove(&id);
        self.update_counts();
    }

    /// Notifies all peers that an operator has put an endpoint into maintenance or taken it out. Removes peers whose
    /// outbox is full.
    pub fn notify_maintenance(&self, endpoint: &EndpointId, in_maintenance: bool) {
        let message = || Message::MaintenanceChanged { endpoint: endpoint.clone(), in_maintenance };
        // Removing a peer ends its connection, by which both sides notice the removal.
        self.peers.borrow_mut().retain(|_, peer| peer.outbox.try_send(message()).is_ok());
        self.update_counts();
    }

    fn update_counts(&self) {
        let peers = self.peers.borrow();
        let predecessors = peers.values().filter(|peer| peer.role == PeerRole::Predecessor).count() as u32;
        self.counts.set(predecessors, peers.len() as u32 - predecessors);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/replica_table.rs"]
mod tests;
