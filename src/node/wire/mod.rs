//! Formats of messages and their parts, without sockets.

pub mod client_request;
pub mod client_response;
pub mod endpoint_list;
pub mod limits;
pub mod load_report;
pub mod request_body;
pub mod request_head;
pub mod stream;
