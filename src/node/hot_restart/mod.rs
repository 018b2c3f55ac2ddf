//! Hot restart: processes of one gateway that serve side by side while a new one takes over.

pub mod framing;
pub mod maintenance_file;
pub mod message;
pub mod predecessor;
pub mod replica_counts;
pub mod replicas;
pub mod shared_folder;
pub mod successor;
