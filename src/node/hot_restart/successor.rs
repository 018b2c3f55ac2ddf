//! Accepts the connections of processes that start after this one, and sends them the state of this process.

use crate::node::hot_restart::{
    framing::split,
    handshake::{HANDSHAKE_TIMEOUT, HandshakeError},
    message::{FORMAT_VERSION, Message},
    peer_connection::{NewPeer, SharedHandler, add_peer},
    replica_table::{PeerRole, ReplicaTable},
    shared_folder::SharedFolder,
};
use std::{fs, io, path::PathBuf, process, rc::Rc, time::Duration};
use tokio::{
    net::{UnixListener, UnixStream},
    time::{sleep, timeout},
};
use tracing::warn;

/// Pause after a failure to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Socket on which successors connect. Dropping it removes its file.
pub struct SuccessorListener {
    socket: UnixListener,
    path: PathBuf,
}

impl SuccessorListener {
    /// Binds the socket of this process in the shared folder.
    ///
    /// # Errors
    /// The socket can't be created in the folder.
    pub fn bind(folder: &SharedFolder) -> io::Result<Self> {
        let path = folder.socket_path(process::id());
        // An earlier process with the same process id may have left its socket there.
        let _ = fs::remove_file(&path);
        let socket = UnixListener::bind(&path)?;
        Ok(Self { socket, path })
    }
}

impl Drop for SuccessorListener {
    fn drop(&mut self) {
        // If this fails, the next process removes the file, as its connection is refused.
        let _ = fs::remove_file(&self.path);
    }
}

/// Accepts successors until the process ends. Closes connections that exceed the maximum number of peers.
pub async fn accept_successors(table: Rc<ReplicaTable>, handler: SharedHandler, listener: SuccessorListener) {
    loop {
        let Ok((socket, _)) = listener.socket.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if table.is_full() {
            continue;
        }
        if let Err(error) = accept(&table, &handler, socket).await {
            warn!(reason = %error, "handshake with successor failed");
        }
    }
}

/// Performs the handshake with a process that has connected, and adds the process as a peer.
async fn accept(
    table: &Rc<ReplicaTable>,
    handler: &SharedHandler,
    socket: UnixStream,
) -> Result<(), HandshakeError> {
    let (mut reader, writer) = split(socket, table.max_message_bytes());
    let received = timeout(HANDSHAKE_TIMEOUT, reader.read()).await.map_err(|_| HandshakeError::Timeout)?;
    let shares_request_ids = check_hello(&received?, table.gateway_name())?;
    // Later changes wait in the peer's outbox and are written after these.
    let request_ids = shares_request_ids.then(|| Message::RequestIds { hashes: handler.request_ids() });
    let first_messages = request_ids.into_iter().chain([Message::Snapshot(handler.snapshot())]).collect();
    let role = PeerRole::Successor;
    add_peer(table, handler, NewPeer { role, reader, writer, shares_request_ids, first_messages });
    Ok(())
}

/// Checks that a first message comes from a successor of this gateway with the same message format. Returns whether the
/// successor knows the message for transaction ids.
fn check_hello(message: &Message, own_gateway_name: &str) -> Result<bool, HandshakeError> {
    let Message::Hello { format_version, gateway_name, shares_request_ids } = message else {
        return Err(HandshakeError::unexpected(message));
    };
    if *format_version != FORMAT_VERSION {
        return Err(HandshakeError::UnsupportedFormat(*format_version));
    }
    if gateway_name != own_gateway_name {
        return Err(HandshakeError::OtherGateway(gateway_name.clone()));
    }
    Ok(*shares_request_ids)
}

#[cfg(test)]
#[path = "../../../tests/unit/hot_restart_successor.rs"]
mod tests;
