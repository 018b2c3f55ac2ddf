//! The HTTP server for clients.
//!
//! - `listener` accepts connections within a budget; `eviction` and `timeouts` decide which of them end.
//! - `connection` serves the requests of one connection, one after another; `state` holds its stage.
//! - `socket` reads from and writes to it, `request_reader` and `response_writer` do so in terms of HTTP.
//! - `exchange` hands one request to the [`RequestHandler`] and waits for its final response; `body_upload` streams a
//!   large body meanwhile.
//! - `memory` bounds what bodies of all connections may hold.

mod body_upload;
mod connection;
mod context;
mod eviction;
mod exchange;
mod handler;
mod listener;
mod memory;
mod request_reader;
mod response_writer;
mod socket;
mod state;
mod timeouts;

pub use context::ConnectionContext;
pub use handler::{FinalResponse, RequestHandler};
pub use listener::ClientListener;
