//! Meets the processes that already serve this gateway.

use crate::node::hot_restart::{
    framing::split,
    handshake::{HANDSHAKE_TIMEOUT, HandshakeError},
    message::{FORMAT_VERSION, Message},
    peer_connection::{Handler, join},
    replica_table::{MAX_PEERS, PeerRole, Siblings},
    shared_folder::SharedFolder,
    successor::SiblingListener,
};
use std::{fs, path::Path, rc::Rc};
use tokio::{net::UnixStream, time::timeout};
use tracing::warn;

/// Connects to the predecessors, takes over what they have learned, and listens for successors. Returns whether
/// there is a predecessor. Without a shared folder, or one that takes no socket, this process stands alone.
pub async fn meet(table: &Rc<Siblings>, handler: &Handler) -> (bool, Option<SiblingListener>) {
    let Some(folder) = SharedFolder::of(table.gateway_name()) else { return (false, None) };
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
    match SiblingListener::bind(&folder) {
        Ok(listener) => (has_predecessor, Some(listener)),
        Err(error) => {
            warn!(reason = %error, "no successor can connect to this process");
            (has_predecessor, None)
        }
    }
}

/// Performs the handshake with the process that listens at `path`, and adds it as a peer.
async fn connect(table: &Rc<Siblings>, handler: &Handler, path: &Path) -> Result<(), HandshakeError> {
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
    handler.inherit(snapshot);
    join(table, handler, PeerRole::Predecessor, reader, writer, None);
    Ok(())
}
