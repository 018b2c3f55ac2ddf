//! Meets the processes that already serve this gateway.

use crate::node::hot_restart::{
    framing::split,
    handshake::{HANDSHAKE_TIMEOUT, HandshakeError},
    message::{FORMAT_VERSION, Message},
    peer_connection::{SharedHandler, join},
    replica_table::{MAX_PEERS, PeerRole, ReplicaTable},
    shared_folder::SharedFolder,
    successor::SuccessorListener,
};
use std::{fs, path::Path, rc::Rc};
use tokio::{net::UnixStream, time::timeout};
use tracing::warn;

/// What this process has found out about its peers at its start.
#[derive(Default)]
pub struct Takeover {
    /// Whether a predecessor has handed over its snapshot.
    pub has_predecessor: bool,
    /// Where successors connect; `None` without a shared folder that takes a socket.
    pub successor_listener: Option<SuccessorListener>,
}

/// Connects to the predecessors, takes over what they have learned, and listens for successors.
pub async fn meet_predecessors(table: &Rc<ReplicaTable>, handler: &SharedHandler) -> Takeover {
    let Some(folder) = SharedFolder::of(table.gateway_name()) else { return Takeover::default() };
    let mut has_predecessor = false;
    for path in folder.socket_paths().iter().take(MAX_PEERS) {
        match connect(table, handler, path).await {
            Ok(()) => has_predecessor = true,
            Err(error) if error.is_connection_refused() => {
                // A file that can't be removed is left to the next process.
                let _ = fs::remove_file(path);
            }
            Err(error) => warn!(path = %path.display(), reason = %error, "no predecessor listens there"),
        }
    }
    let successor_listener = match SuccessorListener::bind(&folder) {
        Ok(listener) => Some(listener),
        Err(error) => {
            warn!(reason = %error, "no successor can connect to this process");
            None
        }
    };
    Takeover { has_predecessor, successor_listener }
}

/// Performs the handshake with the process that listens at `path`, and adds it as a peer.
async fn connect(
    table: &Rc<ReplicaTable>,
    handler: &SharedHandler,
    path: &Path,
) -> Result<(), HandshakeError> {
    let handshake = async {
        let socket = UnixStream::connect(path).await?;
        let (mut reader, mut writer) = split(socket, table.max_message_bytes());
        let gateway_name = table.gateway_name().to_owned();
        writer.write(&Message::Hello { format_version: FORMAT_VERSION, gateway_name }).await?;
        let reply = reader.read().await?;
        Ok::<_, HandshakeError>((reply, reader, writer))
    };
    let finished = timeout(HANDSHAKE_TIMEOUT, handshake).await.map_err(|_| HandshakeError::Timeout)?;
    let (reply, reader, writer) = finished?;
    let Message::Snapshot(snapshot) = reply else { return Err(HandshakeError::unexpected(&reply)) };
    handler.receive_snapshot(snapshot);
    join(table, handler, PeerRole::Predecessor, reader, writer, None);
    Ok(())
}
