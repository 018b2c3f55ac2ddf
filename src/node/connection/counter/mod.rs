//! Client of the counter.
//!
//! A [`client::CounterClient`] keeps a few connections to one address. Calls are pipelined: each connection writes
//! them one after another and matches the replies to them in the same order. All awaited calls that add to one
//! counter use the same connection, so that their replies arrive in order.

pub mod call;
pub mod call_queue;
pub mod client;
pub mod client_context;
pub mod connection;
pub mod error;
pub mod protocol;
