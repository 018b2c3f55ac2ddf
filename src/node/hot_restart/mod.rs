//! Hot restart: a new process of a gateway takes over while the previous one still serves.
//!
//! Each process listens on a Unix socket of its own in a folder that the gateway's processes share. A new process
//! connects to every socket that it finds there, so the successor always connects to the predecessor. The
//! predecessor hands over a snapshot of what it has learned. The connection then stays open for as long as both
//! processes live; its end means that the peer has ended.

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
