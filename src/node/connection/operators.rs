//! The operators' HTTP API: one request a connection, answered from live state.
//!
//! Nothing here waits for clients, endpoints or the counter. Connections have descriptors set aside for them; a caller
//! that holds one without a complete request gives way to others.

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

/// Most connections at once: the descriptors set aside, less the listener and one connection just accepted.
const MAX_CONCURRENT_CALLS: usize = Config::OPERATOR_DESCRIPTORS - 2;
/// Longest time for a call, from the connection to the last byte of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The oldest call may give way to a new one after this time.
const MIN_CALL_TIME: Duration = Duration::from_millis(100);
/// Wait after a failure to accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Longest head of a request; hyper takes no smaller limit.
const MAX_HEAD_BYTES: usize = 8192;

type OperatorResponse = Response<Full<Bytes>>;

/// Why an endpoint could not be put into maintenance or taken out.
#[derive(Debug, Error)]
pub enum MaintenanceError {
    #[error("no worker has this id")]
    UnknownEndpoint,
    /// The change holds in this process, but the next one would not know it.
    #[error("not kept: {0}")]
    NotKept(MaintenanceFileError),
}

/// What operators may ask for.
pub trait Operations {
    /// Whether clients are accepted.
    fn is_accepting(&self) -> bool;
    /// The current metrics in Prometheus' text format.
    fn render_metrics(&self) -> String;
    /// Puts an endpoint into maintenance, or takes it out.
    ///
    /// # Errors
    /// The endpoint is unknown, or the change could not be stored.
    fn set_maintenance(&self, id: &str, in_maintenance: bool) -> Result<(), MaintenanceError>;
}

/// The server of the operators' API.
pub struct Operators {
    pub operations: Box<dyn Operations>,
}

/// A call that is being served.
struct OpenCall {
    started_at: Instant,
    task: JoinHandle<()>,
}

/// A call according to its path.
enum OperatorCall<'a> {
    HealthCheck,
    Metrics,
    StartMaintenance { endpoint_id: &'a str },
    EndMaintenance { endpoint_id: &'a str },
}

impl<'a> OperatorCall<'a> {
    /// `None` if there is no such call.
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

impl Operators {
    /// Serves calls until it is cancelled.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut open_calls = VecDeque::new();
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            open_calls.retain(|call: &OpenCall| !call.task.is_finished());
            if open_calls.len() >= MAX_CONCURRENT_CALLS {
                end_oldest(&mut open_calls).await;
            }
            let operators = self.clone();
            let task = spawn_local(async move {
                // A call that is incomplete by then gets no response.
                let _ = timeout(CALL_TIMEOUT, operators.serve_connection(socket)).await;
            });
            open_calls.push_back(OpenCall { started_at: Instant::now(), task });
        }
    }

    async fn serve_connection(&self, socket: TcpStream) {
        let service = service_fn(async |request| Ok::<_, Infallible>(self.respond(&request)));
        let mut server = http1::Builder::new();
        // The call as a whole has a time limit, so its head needs none.
        server.keep_alive(false).max_buf_size(MAX_HEAD_BYTES).header_read_timeout(None);
        // After an error the caller is gone, or has got hyper's response to what is not HTTP.
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

/// Ends the oldest call, once it has had its minimum time.
async fn end_oldest(open_calls: &mut VecDeque<OpenCall>) {
    if let Some(oldest) = open_calls.pop_front() {
        sleep_until(oldest.started_at + MIN_CALL_TIME).await;
        oldest.task.abort();
    }
}

fn error_status(error: &MaintenanceError) -> StatusCode {
    match error {
        MaintenanceError::UnknownEndpoint => StatusCode::NOT_FOUND,
        MaintenanceError::NotKept(_) => StatusCode::INTERNAL_SERVER_ERROR,
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
