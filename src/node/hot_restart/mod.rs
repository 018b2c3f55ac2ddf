//! Hot restart: a new process of a gateway takes over while the previous one still serves.
//!
//! Each process listens on its own Unix socket in a folder that the gateway's processes share. A new process
//! connects to every socket in the folder, so the successor always connects to the predecessor. The predecessor
//! sends a snapshot of its state. The connection then stays open until one of the two processes ends.

pub mod framing;
pub mod handshake;
pub mod maintenance_file;
pub mod message;
pub mod peer_connection;
pub mod predecessor;
pub mod replica_counts;
pub mod replica_table;
pub mod shared_folder;
pub mod successor;
