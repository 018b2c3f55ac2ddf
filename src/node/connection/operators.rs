//! The operators' listener: one call a connection, answered from live state whatever the clients do.
//!
//! Nothing here waits on clients, endpoints or the counter. Calls run side by side on descriptors kept aside for
//! them; callers that hold a connection without a whole call make room for others.

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
use std::{collections::VecDeque, convert::Infallible, fmt, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep, sleep_until, timeout},
};

/// Calls at once: what the descriptors leave beside one just accepted and the listener.
const CALLS: usize = Config::OPERATOR_SOCKETS - 2;
/// Longest time for a call, from its connection on to its answer's last byte.
const CALL_TIME: Duration = Duration::from_secs(2);
/// At the edge the call held open longest ends, though not before it had so long to be sent.
const SPARED: Duration = Duration::from_millis(100);
/// Pause after a failure to accept.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest head of a call; hyper takes no smaller bound.
const MAX_HEAD: usize = 8192;

type Answer = Response<Full<Bytes>>;

/// Why operators are told no.
#[derive(Debug)]
pub enum MaintenanceError {
    /// Nobody has this id.
    UnknownEndpoint,
    /// It holds in this process, but an upgrade would lose it.
    NotKept(MaintenanceFileError),
}

impl fmt::Display for MaintenanceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownEndpoint => f.write_str("no worker has this id"),
            Self::NotKept(e) => write!(f, "not kept: {e}"),
        }
    }
}

/// What operators may ask.
pub trait Operations {
    /// Clients are being taken.
    fn is_accepting(&self) -> bool;
    /// The metrics as they stand, in Prometheus' text format.
    fn render_metrics(&self) -> String;
    /// Leaves an endpoint out, or puts it back.
    fn set_maintenance(&self, id: &str, out: bool) -> Result<(), MaintenanceError>;
}

pub struct Operators {
    pub operations: Box<dyn Operations>,
}

impl Operators {
    /// Serves calls for good.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut calls: VecDeque<(Instant, JoinHandle<()>)> = VecDeque::new();
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                sleep(PAUSE).await;
                continue;
            };
            calls.retain(|(_, call)| !call.is_finished());
            if calls.len() >= CALLS {
                if let Some((since, longest)) = calls.pop_front() {
                    sleep_until(since + SPARED).await;
                    longest.abort();
                }
            }
            let operators = self.clone();
            let call = spawn_local(async move {
                // A call that is not whole by then has no answer coming.
                let _ = timeout(CALL_TIME, operators.converse(socket)).await;
            });
            calls.push_back((Instant::now(), call));
        }
    }

    async fn converse(&self, socket: TcpStream) {
        let service = service_fn(async |request| Ok::<_, Infallible>(self.answer(&request)));
        let mut endpoint = http1::Builder::new();
        // The whole call has a limit, so its head needs none of its own.
        endpoint.keep_alive(false).max_buf_size(MAX_HEAD).header_read_timeout(None);
        // A caller that goes, or speaks no HTTP, has had its answer from hyper or wants none.
        let _ = endpoint.serve_connection(TokioIo::new(socket), service).await;
    }

    fn answer(&self, request: &Request<Incoming>) -> Answer {
        let path: Vec<&str> = request.uri().path().split('/').skip(1).collect();
        let (wanted, answer): (Method, &dyn Fn() -> Answer) = match path.as_slice() {
            ["healthcheck"] => (Method::GET, &|| self.health()),
            ["stats"] => (Method::GET, &|| say(StatusCode::OK, self.operations.render_metrics())),
            ["workers", id, "maint"] => (Method::PUT, &|| self.set_maintenance(id, true)),
            ["workers", id, "ready"] => (Method::PUT, &|| self.set_maintenance(id, false)),
            _ => return say(StatusCode::NOT_FOUND, "no such call\n"),
        };
        if *request.method() == wanted {
            return answer();
        }
        let mut no = say(StatusCode::METHOD_NOT_ALLOWED, "no such method here\n");
        // A method's name is plain text.
        no.headers_mut().extend(HeaderValue::from_str(wanted.as_str()).ok().map(|value| (ALLOW, value)));
        no
    }

    fn set_maintenance(&self, id: &str, out: bool) -> Answer {
        let Ok(id) = percent_decode_str(id).decode_utf8() else {
            return say(StatusCode::BAD_REQUEST, "the id is no text\n");
        };
        match self.operations.set_maintenance(&id, out) {
            Ok(()) => say(StatusCode::OK, if out { "out\n" } else { "back\n" }),
            Err(error @ MaintenanceError::UnknownEndpoint) => {
                say(StatusCode::NOT_FOUND, format!("{error}\n"))
            }
            Err(error) => say(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
        }
    }

    fn health(&self) -> Answer {
        if self.operations.is_accepting() {
            say(StatusCode::OK, "ok\n")
        } else {
            say(StatusCode::SERVICE_UNAVAILABLE, "takes no clients\n")
        }
    }
}

fn say(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    answer
}
