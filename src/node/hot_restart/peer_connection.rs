//! Exchanges messages with a peer process, from the end of the handshake until the connection ends.

use crate::node::hot_restart::{
    framing::{MessageError, MessageReader, MessageWriter},
    message::Message,
    replica_table::{PeerRole, ReplicaTable},
};
use oliverack::{EndpointId, HandoverSnapshot};
use std::rc::Rc;
use thiserror::Error;
use tokio::{sync::mpsc, task::spawn_local};
use tracing::warn;

/// State of this process that peer processes read and change.
pub trait ReplicaHandler {
    /// Takes over the state of a predecessor.
    fn receive_snapshot(&self, snapshot: HandoverSnapshot);
    /// Returns the state that a successor takes over.
    fn snapshot(&self) -> HandoverSnapshot;
    /// Puts an endpoint into maintenance or takes it out, as an operator has requested of a peer.
    fn set_maintenance(&self, endpoint: &EndpointId, in_maintenance: bool);
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

/// Adds a peer to the table and spawns a task that exchanges messages with it. The task removes the peer when the
/// connection ends. `first_message` is written before all others.
pub fn add_peer(
    table: &Rc<ReplicaTable>,
    handler: &SharedHandler,
    role: PeerRole,
    mut reader: MessageReader,
    mut writer: MessageWriter,
    first_message: Option<Message>,
) {
    let (peer_id, mut outbox) = table.add(role);
    handler.replicas_changed();
    let table = table.clone();
    let handler = handler.clone();
    spawn_local(async move {
        let error = tokio::select! {
            error = receive_messages(&mut reader, &handler) => error,
            error = send_messages(&mut writer, first_message, &mut outbox) => error,
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
            Ok(message) => return ConnectionError::UnexpectedMessage(message.kind()),
            Err(error) => return error.into(),
        }
    }
}

/// Writes the first message and then those from the outbox until the connection ends, and returns the reason.
async fn send_messages(
    writer: &mut MessageWriter,
    first_message: Option<Message>,
    outbox: &mut mpsc::Receiver<Message>,
) -> ConnectionError {
    if let Some(message) = first_message {
        if let Err(error) = writer.write(&message).await {
            return error.into();
        }
    }
    while let Some(message) = outbox.recv().await {
        if let Err(error) = writer.write(&message).await {
            return error.into();
        }
    }
    ConnectionError::OutboxFull
}
