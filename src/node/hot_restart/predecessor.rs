//! Connects to the processes that already serve this gateway, and takes over their state.

use crate::node::hot_restart::{
    framing::split,
    handshake::{HANDSHAKE_TIMEOUT, HandshakeError},
    message::{FORMAT_VERSION, Message},
    peer_connection::{NewPeer, SharedHandler, add_peer},
    replica_table::{MAX_PEERS, PeerRole, ReplicaTable},
    shared_folder::SharedFolder,
    successor::SuccessorListener,
};
use std::{fs, path::Path, rc::Rc};
use tokio::{net::UnixStream, time::timeout};
use tracing::warn;

/// Result of connecting to the predecessors and binding the listener for successors.
#[derive(Default)]
pub struct ReplicaSetup {
    /// True if at least one predecessor has sent its snapshot.
    pub has_predecessor: bool,
    /// Listener for successors; `None` if there is no shared folder, or no socket can be bound in it.
    pub successor_listener: Option<SuccessorListener>,
}

/// Connects to the predecessors, takes over their state, and binds the listener for successors.
pub async fn connect_to_predecessors(table: &Rc<ReplicaTable>, handler: &SharedHandler) -> ReplicaSetup {
    let Some(folder) = SharedFolder::from_env(table.gateway_name()) else { return ReplicaSetup::default() };
    let mut has_predecessor = false;
    for path in folder.socket_paths().iter().take(MAX_PEERS) {
        match connect(table, handler, path).await {
            Ok(()) => has_predecessor = true,
            Err(error) if error.is_connection_refused() => {
                // If the file can't be removed, the next process tries again.
                let _ = fs::remove_file(path);
            }
            Err(error) => warn!(path = %path.display(), reason = %error, "handshake with predecessor failed"),
        }
    }
    let successor_listener = match SuccessorListener::bind(&folder) {
        Ok(listener) => Some(listener),
        Err(error) => {
            warn!(reason = %error, "successors can't connect to this process");
            None
        }
    };
    ReplicaSetup { has_predecessor, successor_listener }
}

/// Performs the handshake with the process that listens at `path`, and adds the process as a peer.
async fn connect(
    table: &Rc<ReplicaTable>,
    handler: &SharedHandler,
    path: &Path,
) -> Result<(), HandshakeError> {
    let handshake = async {
        let socket = UnixStream::connect(path).await?;
        let (mut reader, mut writer) = split(socket, table.max_message_bytes());
        let gateway_name = table.gateway_name().to_owned();
        let hello = Message::Hello { format_version: FORMAT_VERSION, gateway_name, shares_request_ids: true };
        writer.write(&hello).await?;
        let first_reply = reader.read().await?;
        // Only a predecessor that knows the message sends transaction ids.
        let Message::RequestIds { hashes } = first_reply else {
            return Ok::<_, HandshakeError>((None, first_reply, reader, writer));
        };
        Ok((Some(hashes), reader.read().await?, reader, writer))
    };
    let handshake_result =
        timeout(HANDSHAKE_TIMEOUT, handshake).await.map_err(|_| HandshakeError::Timeout)?;
    let (request_ids, reply, reader, writer) = handshake_result?;
    let Message::Snapshot(snapshot) = reply else { return Err(HandshakeError::unexpected(&reply)) };
    handler.receive_snapshot(snapshot);
    let shares_request_ids = request_ids.is_some();
    handler.receive_request_ids(request_ids.unwrap_or_default());
    let first_messages = Vec::new();
    let role = PeerRole::Predecessor;
    add_peer(table, handler, NewPeer { role, reader, writer, shares_request_ids, first_messages });
    Ok(())
}
