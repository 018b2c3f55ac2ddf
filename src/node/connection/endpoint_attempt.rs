//! Attempts and probes: one exchange with an endpoint each, and how it ended.

use crate::node::{
    connection::{
        answer_body::{Begin, Bounds},
        endpoint_pool::{EndpointPool, KEEP_LEAST, Target},
        http_client::Failure,
        write_progress::Trace,
    },
    wire::{
        client_request::UpstreamRequest,
        limits::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES},
        load_report,
        stream::{Content, Outgoing, Piece},
    },
};
use bytes::Bytes;
use hyper::{HeaderMap, Request, StatusCode, http::response::Parts};
use oliverack::{LoadReport, Status};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::{sync::mpsc, time::sleep};

/// An answer that is larger, or of no told length and takes longer, passes through in pieces.
const BOUNDS: Bounds = Bounds { most: MAX_BUFFERED_BODY_BYTES, patience: Duration::from_millis(50) };

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd {
    pub status: Status,
    pub body: Bytes,
    pub load: LoadReport,
}

impl AttemptEnd {
    /// One that brought no answer.
    pub fn without_answer(status: Status) -> Self {
        Self { status, body: Bytes::new(), load: LoadReport::default() }
    }
}

impl EndpointPool {
    /// One exchange. Nothing is sent a second time: only a kept connection on which not one byte was written
    /// is replaced by another.
    async fn exchange(
        &self,
        target: &Target,
        trace: &Trace,
        build: impl Fn() -> Result<Request<Outgoing>, Status>,
        ended: Option<&Rc<Cell<bool>>>,
        begin: &Begin<'_>,
        tally: Option<&Rc<Cell<u64>>>,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Status> {
        if let Some(rest) = self.rests(target) {
            sleep(rest).await;
        }
        loop {
            let (mut pooled, kept) = match self.take(target) {
                Some(pooled) => (pooled, true),
                None => (self.fresh(target).await?, false),
            };
            *trace.borrow_mut() = Some(pooled.link.progress());
            pooled.link.progress().tell(tally);
            let idle = pooled.since.elapsed();
            // A connection may take long to come up. From here on to the first byte nothing is waited for.
            if !self.stands(target) {
                return Err(Status::NotSent);
            }
            let request = build()?;
            match pooled.link.exchange(request, ended.cloned(), BOUNDS, begin).await {
                Ok((parts, bytes)) => {
                    if kept && idle >= self.keep.get() / 2 {
                        self.keep.set((self.keep.get() * 5 / 4).min(self.keep_most));
                    }
                    self.put(target, pooled);
                    return Ok((parts.status, parts.headers, bytes));
                }
                Err(Failure::Unsent) if kept => {}
                Err(Failure::Unsent | Failure::Partial) => return Err(Status::ConnectFailed),
                Err(Failure::Reset) => {
                    if kept && !pooled.link.progress().answered() {
                        self.keep.set((idle / 2).max(KEEP_LEAST).min(self.keep.get()));
                    }
                    return Err(Status::Reset);
                }
            }
        }
    }

    /// Sends `what` to the endpoint once, if it `may_begin` when the connection is there; `wait` tells the endpoint how
    /// long the gateway will wait. A large answer goes to what `begin` returns for its length.
    pub async fn attempt(
        &self,
        target: &Target,
        what: &UpstreamRequest,
        wait: f64,
        trace: &Trace,
        may_begin: impl Fn() -> bool,
        begin: impl Fn(Option<u64>) -> Option<mpsc::Sender<Piece>>,
    ) -> AttemptEnd {
        if !what.body.is_available() {
            return AttemptEnd::without_answer(Status::NotSent);
        }
        let build = || {
            if !may_begin() {
                return Err(Status::NotSent);
            }
            // A body that went by the connection before can't go by another one.
            what.to_endpoint(wait).ok_or(Status::ConnectFailed)
        };
        let ended = match &what.body {
            Content::Whole(_) => None,
            Content::Stream { is_finished, .. } => Some(is_finished),
        };
        // Only what is served has a body that matters.
        let begin = |parts: &Parts, length: Option<u64>| {
            let wanted = parts.status == StatusCode::OK && length.is_none_or(|l| l <= MAX_BODY_BYTES as u64);
            if wanted { begin(length) } else { None }
        };
        let tally = Some(&self.dispatches);
        let (status, headers, body) = match self.exchange(target, trace, build, ended, &begin, tally).await {
            Ok(answer) => answer,
            Err(status) => return AttemptEnd::without_answer(status),
        };
        let (status, load) = judge(status, &headers);
        AttemptEnd { status, body, load }
    }
}

/// What an answer's head says of the attempt, and of the endpoint.
fn judge(status: StatusCode, headers: &HeaderMap) -> (Status, LoadReport) {
    let turned_away = headers.get("x-turned-away").is_some_and(|v| v == "1");
    let status = match status.as_u16() {
        200 => Status::Ok,
        503 | 504 if turned_away => Status::Rejected,
        _ => Status::Error,
    };
    let load = headers.get("x-pressure").and_then(|v| v.to_str().ok()).map(load_report::parse);
    (status, load.unwrap_or_default())
}
