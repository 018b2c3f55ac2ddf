//! The HTTP server for clients.
//!
//! - `listener` accepts connections within a budget. `eviction` closes one to make room for another, and `timeouts`
//!   closes those that exceed a time limit. `hold_up` detects that the process was held up.
//! - `connection` serves the requests of one connection, one after another; `state` records the stage of a connection.
//! - `socket` wraps the TCP stream; `request_reader` reads HTTP requests and `response_writer` writes HTTP responses.
//! - `exchange` hands one request to the [`RequestHandler`] and waits for the final response; `body_upload` streams a
//!   large request body to an endpoint meanwhile.

mod body_upload;
mod connection;
mod context;
mod eviction;
mod exchange;
mod handler;
mod hold_up;
mod listener;
mod request_reader;
mod response_writer;
mod socket;
mod state;
mod timeouts;

pub use context::ConnectionContext;
pub use handler::{FinalResponse, RequestHandler};
pub use listener::ClientListener;
