//! Server of the operators' HTTP API, which answers one request per connection.
//!
//! Requests are answered from the gateway's current state and never wait for clients, endpoints or the counter. A
//! number of descriptors is reserved for these connections. When all are in use, the oldest connection is closed for
//! a new one.

use crate::node::{config::Config, hot_restart::maintenance_file::MaintenanceFileError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{ALLOW, CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use std::{collections::VecDeque, convert::Infallible, rc::Rc, time::Duration};
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep, sleep_until, timeout},
};

/// Most connections at once: the reserved descriptors less the listener and one connection that was just accepted.
const MAX_CONCURRENT_CALLS: usize = Config::OPERATOR_DESCRIPTORS - 2;
/// Longest time for a call, from accepting the connection to the last byte of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest time that a call gets before it may be aborted in favor of a new one.
const MIN_CALL_TIME: Duration = Duration::from_millis(100);
/// Delay after a failure to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Longest request head. hyper accepts no smaller limit.
const MAX_HEAD_BYTES: usize = 8192;

type OperatorResponse = Response<Full<Bytes>>;

/// Failure to put an endpoint into maintenance or to take it out. The texts are sent as response bodies, which
/// operators' tools may match, so they must not change.
#[derive(Debug, Error)]
pub enum MaintenanceError {
    #[error("no worker has this id")]
    UnknownEndpoint,
    /// The change is in effect in this process, but would be lost in the next one.
    #[error("not kept: {0}")]
    NotStored(MaintenanceFileError),
}

/// Operations that the API offers, implemented by the node.
pub trait Operations {
    /// Returns whether the gateway accepts clients.
    fn is_accepting(&self) -> bool;
    /// Returns the current metrics in Prometheus' text format.
    fn render_metrics(&self) -> String;
    /// Puts an endpoint into maintenance or takes it out.
    ///
    /// # Errors
    /// The endpoint is unknown, or the change could not be stored.
    fn set_maintenance(&self, id: &str, in_maintenance: bool) -> Result<(), MaintenanceError>;
}

/// Server of the operators' API.
pub struct OperatorServer {
    pub operations: Box<dyn Operations>,
}

/// Call that is being served.
struct OpenCall {
    started_at: Instant,
    task: JoinHandle<()>,
}

/// Call requested by a path.
enum OperatorCall<'a> {
    HealthCheck,
    Metrics,
    StartMaintenance { endpoint_id: &'a str },
    EndMaintenance { endpoint_id: &'a str },
}

impl<'a> OperatorCall<'a> {
    /// Parses a request's path. Returns `None` if no call has this path.
    fn parse(path: &'a str) -> Option<Self> {
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match segments.as_slice() {
            ["healthcheck"] => Some(Self::HealthCheck),
            ["stats"] => Some(Self::Metrics),
            ["workers", endpoint_id, "maint"] => Some(Self::StartMaintenance { endpoint_id }),
            ["workers", endpoint_id, "ready"] => Some(Self::EndMaintenance { endpoint_id }),
            _ => None,
        }
    }

    fn method(&self) -> Method {
        match self {
            Self::HealthCheck | Self::Metrics => Method::GET,
            Self::StartMaintenance { .. } | Self::EndMaintenance { .. } => Method::PUT,
        }
    }
}

impl OperatorServer {
    /// Serves calls until the task is cancelled.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut open_calls = VecDeque::new();
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            open_calls.retain(|call: &OpenCall| !call.task.is_finished());
            if open_calls.len() >= MAX_CONCURRENT_CALLS {
                abort_oldest(&mut open_calls).await;
            }
            let server = self.clone();
            let task = spawn_local(async move {
                // A call that exceeds its time gets no response.
                let _ = timeout(CALL_TIMEOUT, server.serve_connection(socket)).await;
            });
            open_calls.push_back(OpenCall { started_at: Instant::now(), task });
        }
    }

    async fn serve_connection(&self, socket: TcpStream) {
        let service = service_fn(async |request| Ok::<_, Infallible>(self.respond(&request)));
        let mut server = http1::Builder::new();
        // The time limit of the whole call covers the head.
        server.keep_alive(false).max_buf_size(MAX_HEAD_BYTES).header_read_timeout(None);
        // On an error the operator has disconnected, or has received hyper's response to invalid HTTP.
        let _ = server.serve_connection(TokioIo::new(socket), service).await;
    }

    fn respond(&self, request: &Request<Incoming>) -> OperatorResponse {
        let Some(call) = OperatorCall::parse(request.uri().path()) else {
            return text_response(StatusCode::NOT_FOUND, "no such call\n");
        };
        if *request.method() != call.method() {
            return method_not_allowed(&call.method());
        }
        match call {
            OperatorCall::HealthCheck => self.check_health(),
            OperatorCall::Metrics => text_response(StatusCode::OK, self.operations.render_metrics()),
            OperatorCall::StartMaintenance { endpoint_id } => self.set_maintenance(endpoint_id, true),
            OperatorCall::EndMaintenance { endpoint_id } => self.set_maintenance(endpoint_id, false),
        }
    }

    fn check_health(&self) -> OperatorResponse {
        if self.operations.is_accepting() {
            text_response(StatusCode::OK, "ok\n")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "takes no clients\n")
        }
    }

    fn set_maintenance(&self, encoded_id: &str, in_maintenance: bool) -> OperatorResponse {
        let Ok(id) = percent_decode_str(encoded_id).decode_utf8() else {
            return text_response(StatusCode::BAD_REQUEST, "the id is no text\n");
        };
        match self.operations.set_maintenance(&id, in_maintenance) {
            Ok(()) if in_maintenance => text_response(StatusCode::OK, "out\n"),
            Ok(()) => text_response(StatusCode::OK, "back\n"),
            Err(error) => text_response(error_status(&error), format!("{error}\n")),
        }
    }
}

/// Aborts the oldest call once [`MIN_CALL_TIME`] has passed since it was accepted.
async fn abort_oldest(open_calls: &mut VecDeque<OpenCall>) {
    if let Some(oldest) = open_calls.pop_front() {
        sleep_until(oldest.started_at + MIN_CALL_TIME).await;
        oldest.task.abort();
    }
}

fn error_status(error: &MaintenanceError) -> StatusCode {
    match error {
        MaintenanceError::UnknownEndpoint => StatusCode::NOT_FOUND,
        MaintenanceError::NotStored(_) => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

fn method_not_allowed(allowed: &Method) -> OperatorResponse {
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "no such method here\n");
    // A method's name is always a valid header value.
    if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
        response.headers_mut().insert(ALLOW, allowed);
    }
    response
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> OperatorResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
