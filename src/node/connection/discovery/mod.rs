//! The client of discovery.

pub mod call;
pub mod error;
pub mod follower;
