//! The live peer processes of this process.

use crate::node::hot_restart::{message::Message, replica_counts::ReplicaCounts};
use oliverack::EndpointId;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};
use tokio::sync::mpsc;

/// Peer processes at once; a hot restart needs one.
pub const MAX_PEERS: usize = 4;
/// Descriptors that hot restart needs: one for each peer, the listener, and a connection just accepted.
pub const MAX_DESCRIPTORS: usize = MAX_PEERS + 2;
/// Messages that may wait to be written to a peer; a peer that lets more wait is disconnected.
const OUTBOX_CAPACITY: usize = 64;

/// Which of two processes started first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRole {
    /// The peer started before this process.
    Predecessor,
    /// The peer started after this process.
    Successor,
}

/// Identifies a peer; never used again for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(u64);

struct Peer {
    role: PeerRole,
    outbox: mpsc::Sender<Message>,
}

/// See the [module](self).
pub struct ReplicaTable {
    /// Only processes of the gateway of this name are peers.
    gateway_name: String,
    max_message_bytes: u64,
    peers: RefCell<BTreeMap<PeerId, Peer>>,
    next_id: Cell<u64>,
    counts: Rc<ReplicaCounts>,
}

impl ReplicaTable {
    /// An empty table. Messages of up to `max_message_bytes` are read; `counts` follows the table.
    pub fn new(gateway_name: &str, max_message_bytes: usize, counts: Rc<ReplicaCounts>) -> Rc<Self> {
        Rc::new(Self {
            gateway_name: gateway_name.to_owned(),
            max_message_bytes: max_message_bytes as u64,
            peers: RefCell::default(),
            next_id: Cell::new(0),
            counts,
        })
    }

    /// The name of the gateway that all processes of the table serve.
    pub fn gateway_name(&self) -> &str {
        &self.gateway_name
    }

    /// Length of the longest message that is read.
    pub fn max_message_bytes(&self) -> u64 {
        self.max_message_bytes
    }

    /// Whether no further peer is accepted.
    pub fn is_full(&self) -> bool {
        self.peers.borrow().len() >= MAX_PEERS
    }

    /// Adds a peer. Returns the messages to write to it, which end when it is removed.
    pub fn add(&self, role: PeerRole) -> (PeerId, mpsc::Receiver<Message>) {
        let (outbox, messages) = mpsc::channel(OUTBOX_CAPACITY);
        let id = PeerId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        self.peers.borrow_mut().insert(id, Peer { role, outbox });
        self.update_counts();
        (id, messages)
    }

    /// Removes a peer, if it is still there.
    pub fn remove(&self, id: PeerId) {
        self.peers.borrow_mut().remove(&id);
        self.update_counts();
    }

    /// Notifies all peers that operators have put an endpoint into maintenance or taken it out.
    pub fn notify_maintenance(&self, endpoint: &EndpointId, in_maintenance: bool) {
        let message = || Message::MaintenanceChanged { endpoint: endpoint.clone(), in_maintenance };
        // A peer whose outbox is full is removed; the end of its connection tells both sides.
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
