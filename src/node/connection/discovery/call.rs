//! One call to discovery.

use crate::node::{
    connection::{
        answer_body::Bounds, discovery::error::Fault, http_client::HttpClient, write_progress::Trace,
    },
    wire::stream::Outgoing,
};
use bytes::Bytes;
use hyper::{Request, StatusCode, Uri, header, http::response::Parts};
use std::{cell::Cell, net::SocketAddr, time::Duration};
use tokio::time::{Instant, timeout_at};

/// How long discovery may hold a watch, from the call's begin on. Whatever becomes of a call, a change counts as told
/// 6 s after discovery had it: the hold, the patience past it, the pause or the module's turn (1 s) and a connection
/// that comes up late have to fit in that.
const HOLD: Duration = Duration::from_millis(2500);
/// How long past that an answer is waited for to its end: a silent agent is asked again on a new connection.
const PATIENCE: Duration = Duration::from_millis(800);
/// How long a call on a new connection takes at most, that included. It asks for no hold, but where one service takes
/// the calls of all in turn it may wait for 2 s in its line, and giving up there costs another turn.
const FIRST: Duration = Duration::from_millis(2500);
/// How much of that a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(1500);

/// One call; the text of the list that it brings: a watch on the connection that is kept, where there is one, else a
/// question on a new connection that is answered at once. It has one clock for all its stages.
pub async fn call(
    addr: SocketAddr,
    kept: &mut Option<HttpClient>,
    version: Option<u64>,
    most: usize,
    begun: &Trace,
) -> Result<Bytes, Fault> {
    let kept_on = kept.take().and_then(|mut link| link.ready().then_some(link));
    let hold = if kept_on.is_some() && version.is_some() { HOLD } else { Duration::ZERO };
    let span = if hold.is_zero() { FIRST } else { HOLD + PATIENCE };
    let limit = Instant::now() + span;
    let mut link = match kept_on {
        Some(link) => link,
        None => HttpClient::open(addr, CONNECT).await.map_err(|_| Fault::Connect)?,
    };
    *begun.borrow_mut() = Some(link.progress());
    let path = match version {
        Some(v) => format!("/discovery/hosts?from={v}&hold_ms={}", hold.as_millis()),
        None => "/discovery/hosts".to_owned(),
    };
    let mut request = Request::new(Outgoing::Whole(None));
    *request.uri_mut() = Uri::try_from(path).map_err(|_| Fault::Unreadable)?;
    request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("backend.local"));
    let is_too_long = Cell::new(false);
    // Asked only about an answer that does not fit, as `limit` is the time for all others.
    let begin = |_: &Parts, _: Option<u64>| {
        is_too_long.set(true);
        None
    };
    let bounds = Bounds { most, patience: span };
    let answer = timeout_at(limit, link.exchange(request, None, bounds, &begin)).await;
    let broken = |_| if is_too_long.get() { Fault::TooLong(most) } else { Fault::Broken };
    let (parts, body) = answer.map_err(|_| Fault::Silent)?.map_err(broken)?;
    if parts.status != StatusCode::OK {
        return Err(Fault::Status(parts.status));
    }
    *kept = Some(link);
    Ok(body)
}
