//! The client of the counter.
//!
//! A [`client::CounterClient`] keeps a few connections to one address. Calls are written one behind another, and
//! replies are matched to them in their order, so all calls that add to one counter and are still awaited share a
//! connection.

pub mod call;
pub mod call_queue;
pub mod client;
pub mod client_context;
pub mod connection;
pub mod error;
pub mod protocol;
