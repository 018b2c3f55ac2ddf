//! The client of the counter.

pub mod client;
pub mod connection;
pub mod protocol;
