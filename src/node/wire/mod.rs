//! Formats of the messages that the gateway exchanges with clients, endpoints and discovery. Nothing here opens or uses
//! a socket.

pub mod body_arrival;
pub mod client_request;
pub mod client_response;
pub mod endpoint_list;
pub mod limits;
pub mod load_report;
pub mod request_body;
pub mod request_head;
pub mod stream;
