//! Exchanges messages with a peer process, from the end of the handshake until the connection ends.

use crate::node::hot_restart::{
    framing::{MessageError, MessageReader, MessageWriter},
    message::{Message, RequestIdHash},
    replica_table::{Outbox, PeerRole, ReplicaTable},
};
use oliverack::{EndpointId, HandoverSnapshot};
use std::rc::Rc;
use thiserror::Error;
use tokio::task::spawn_local;
use tracing::warn;

/// State of this process that peer processes read and change.
pub trait ReplicaHandler {
    /// Takes over the state of a predecessor.
    fn receive_snapshot(&self, snapshot: HandoverSnapshot);
    /// Returns the state that a successor takes over.
    fn snapshot(&self) -> HandoverSnapshot;
    /// Puts an endpoint into maintenance or takes it out, as an operator has requested of a peer.
    fn set_maintenance(&self, endpoint: &EndpointId, in_maintenance: bool);
    /// Returns the transaction ids of all requests that may have run or may yet run, and must not run again.
    fn request_ids(&self) -> Vec<RequestIdHash>;
    /// Handles the transaction ids of requests that may have run at a peer and must not run again.
    fn receive_request_ids(&self, hashes: Vec<RequestIdHash>);
    /// Handles the addition or removal of a peer.
    fn replicas_changed(&self);
}

/// Handler that all peers share.
pub type SharedHandler = Rc<dyn ReplicaHandler>;

/// Reason why a connection to a peer ended.
#[derive(Debug, Error)]
enum ConnectionError {
    /// A message could not be read or written.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The peer sent a message that belongs to the handshake.
    #[error("unexpected message {0}")]
    UnexpectedMessage(&'static str),
    /// The peer was removed from the table because its outbox was full.
    #[error("the outbox is full")]
    OutboxFull,
}

impl ConnectionError {
    /// Returns whether the peer violated the protocol. Otherwise it has only ended or is stuck.
    fn is_protocol_violation(&self) -> bool {
        !matches!(self, Self::Message(MessageError::Socket(_)) | Self::OutboxFull)
    }
}

/// Peer process with which the handshake is complete.
pub struct NewPeer {
    pub role: PeerRole,
    pub reader: MessageReader,
    pub writer: MessageWriter,
    /// True if the peer knows the message for transaction ids.
    pub shares_request_ids: bool,
    /// Messages that are written before all others.
    pub first_messages: Vec<Message>,
}

/// Adds a peer to the table and spawns a task that exchanges messages with it. The task removes the peer when the
/// connection ends.
pub fn add_peer(table: &Rc<ReplicaTable>, handler: &SharedHandler, peer: NewPeer) {
    let NewPeer { role, mut reader, mut writer, shares_request_ids, first_messages } = peer;
    let (peer_id, mut outbox) = table.add(role, shares_request_ids);
    handler.replicas_changed();
    let table = table.clone();
    let handler = handler.clone();
    spawn_local(async move {
        let error = tokio::select! {
            error = receive_messages(&mut reader, &handler) => error,
            error = send_messages(&mut writer, first_messages, &mut outbox) => error,
        };
        table.remove(peer_id);
        handler.replicas_changed();
        if error.is_protocol_violation() {
            warn!(reason = %error, "connection to a replica process closed");
        }
    });
}

/// Handles the messages of the peer until the connection ends, and returns the reason.
async fn receive_messages(reader: &mut MessageReader, handler: &SharedHandler) -> ConnectionError {
    loop {
        match reader.read().await {
            Ok(Message::MaintenanceChanged { endpoint, in_maintenance }) => {
                handler.set_maintenance(&endpoint, in_maintenance);
            }
            Ok(Message::RequestIds { hashes }) => handler.receive_request_ids(hashes),
            Ok(message) => return ConnectionError::UnexpectedMessage(message.kind()),
            Err(error) => return error.into(),
        }
    }
}

/// Writes the first messages and then those from the outbox until the connection ends, and returns the reason.
async fn send_messages(
    writer: &mut MessageWriter,
    first_messages: Vec<Message>,
    outbox: &mut Outbox,
) -> ConnectionError {
    for message in first_messages {
        if let Err(error) = writer.write(&message).await {
            return error.into();
        }
    }
    while let Some(message) = next_message(outbox).await {
        if let Err(error) = writer.write(&message).await {
            return error.into();
        }
    }
    ConnectionError::OutboxFull
}

/// Waits for the next message to write; returns `None` once the peer is removed. Transaction ids come first: the peer
/// must know them before their clients can reach it.
async fn next_message(outbox: &mut Outbox) -> Option<Message> {
    let Some(pending_ids) = &outbox.pending_ids else { return outbox.messages.recv().await };
    tokio::select! {
        biased;
        message = pending_ids.next_message() => Some(message),
        message = outbox.messages.recv() => message,
    }
}
