//! Bytes of each message as it would be on the wire. No text is stored: its length is counted while it is formatted.

use super::configuration::RepeatEffect;
use oliverack::{Endpoint, Lifecycle, Seconds, Status};
use std::fmt::{self, Write};

/// Bytes of the value of `X-Txn`.
const TRANSACTION_ID_BYTES: usize = 16;
/// Bytes of the value of `Idempotency-Key`.
const IDEMPOTENCY_KEY_BYTES: usize = 32;
/// The longest time to live of a counter entry, in milliseconds.
const MAX_TTL_MILLISECONDS: f64 = 60_000.0;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Counts the bytes that are written to it.
#[derive(Debug, Default)]
struct ByteCount(u64);

impl Write for ByteCount {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0 += text.len() as u64;
        Ok(())
    }
}

fn length(text: fmt::Arguments<'_>) -> u64 {
    let mut count = ByteCount::default();
    // Counting cannot fail, and the values that are formatted here do not either.
    let _ = count.write_fmt(text);
    count.0
}

/// What the size of a request depends on.
#[derive(Debug, Clone, Copy)]
pub struct RequestHead<'a> {
    /// Name of the class.
    pub class: &'a str,
    /// Decides method, idempotency key and body.
    pub repeat_effect: RepeatEffect,
    /// Time left until the deadline.
    pub remaining: Seconds,
    /// Bytes of the body, if there is one.
    pub body_bytes: u64,
}

impl RequestHead<'_> {
    fn common(&self) -> u64 {
        let method = if self.repeat_effect == RepeatEffect::Idempotent { "GET" } else { "POST" };
        let key = if self.repeat_effect == RepeatEffect::IdempotencyKey {
            length(format_args!("Idempotency-Key: {:IDEMPOTENCY_KEY_BYTES$}\r\n", ""))
        } else {
            0
        };
        let body = if self.repeat_effect == RepeatEffect::Idempotent {
            0
        } else {
            length(format_args!("Content-Length: {}\r\n", self.body_bytes)) + self.body_bytes
        };
        let start = length(format_args!("{method} /{} HTTP/1.1\r\nHost: backend.local\r\n", self.class));
        let names = length(format_args!("X-Txn: {:TRANSACTION_ID_BYTES$}\r\n", ""));
        let remaining = length(format_args!("X-Remaining: {:.3}\r\n\r\n", self.remaining));
        start + names + key + body + remaining
    }
}

/// The headers of a client's request that concern its quota.
#[derive(Debug, Clone, Copy)]
pub struct QuotaHeaders<'a> {
    /// Name of the plan.
    pub plan: &'a str,
    /// Units that the request takes.
    pub units: f64,
    /// How many gateways serve the customer.
    pub gateway_count: u32,
    /// Index of the first of them.
    pub first_gateway: u32,
    /// It is marked as a retry.
    pub is_retry: bool,
}

/// Bytes of a client's request to a gateway.
pub fn client_request(head: &RequestHead<'_>, quota: &QuotaHeaders<'_>) -> u64 {
    let names = length(format_args!(
        "X-Lane: {}\r\nX-Plan: {}\r\nX-Customer: 0123456789abcdef\r\n",
        head.class, quota.plan
    ));
    let quota_header = length(format_args!(
        "X-Quota: units={},spread={},first={}\r\n",
        quota.units, quota.gateway_count, quota.first_gateway
    ));
    let retry = if quota.is_retry { length(format_args!("X-Resent: 1\r\n")) } else { 0 };
    head.common() + names + quota_header + retry
}

/// Bytes of an attempt from a gateway to an endpoint.
pub fn attempt(head: &RequestHead<'_>) -> u64 {
    head.common()
}

/// Bytes of a response that serves a request.
pub fn served(body_bytes: u64) -> u64 {
    length(format_args!("HTTP/1.1 200 OK\r\nContent-Length: {body_bytes}\r\n\r\n")) + body_bytes
}

/// Bytes of a rejection, with its Retry-After if it has one.
pub fn rejected(retry_after: Seconds) -> u64 {
    let header =
        if retry_after > 0.0 { length(format_args!("Retry-After: {retry_after:.3}\r\n")) } else { 0 };
    length(format_args!("HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")) + header
}

/// Bytes of a response that fails a request.
pub fn failed() -> u64 {
    length(format_args!("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"))
}

/// Bytes of an endpoint's response that rejects an attempt.
pub fn endpoint_rejected() -> u64 {
    length(format_args!("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"))
}

/// Bytes of an endpoint's response to an attempt that ended so; `None` if there was no response.
pub fn attempt_response(status: Status, body_bytes: u64) -> Option<u64> {
    match status {
        Status::Ok => Some(served(body_bytes)),
        Status::Rejected => Some(endpoint_rejected()),
        _ => None,
    }
}

/// Bytes of a call to the counter.
pub fn counter_call(name: u64, amount: f64, ttl: Seconds) -> u64 {
    let milliseconds = (ttl * MILLISECONDS_PER_SECOND).round().clamp(1.0, MAX_TTL_MILLISECONDS) as u64;
    length(format_args!("bump {name} {amount} {milliseconds}\r\n"))
}

/// Bytes of the counter's response to a call that it served.
pub fn counter_total(total: f64) -> u64 {
    length(format_args!("ok {total}\r\n"))
}

/// Bytes of the counter's response to a call that it rejected.
pub fn counter_busy() -> u64 {
    length(format_args!("busy\r\n"))
}

/// Bytes of a call for the complete endpoint list.
pub fn list_request() -> u64 {
    length(format_args!("GET /discovery/hosts HTTP/1.1\r\nHost: backend.local\r\n\r\n"))
}

/// Bytes of a call that watches for changes of the list.
pub fn watch_request(version: u64, hold: Seconds) -> u64 {
    let milliseconds = (hold * MILLISECONDS_PER_SECOND) as u64;
    length(format_args!(
        "GET /discovery/hosts?from={version}&hold_ms={milliseconds} HTTP/1.1\r\nHost: backend.local\r\n\r\n"
    ))
}

/// Bytes of one entry of the list.
fn list_entry(endpoint: &Endpoint) -> u64 {
    let state = match endpoint.lifecycle {
        Lifecycle::Running => "SERVING",
        Lifecycle::Draining => "DRAINING",
        Lifecycle::Gone => "DELETED",
    };
    let started = (endpoint.started * MILLISECONDS_PER_SECOND) as u64;
    let identity = length(format_args!(
        r#"{{"id":"{}","addr":"10.1.0.18:8443","zone":"{}","kind":"m2","cell":{},"#,
        endpoint.id, endpoint.zone, endpoint.cell
    ));
    identity + length(format_args!(r#""state":"{state}","weight":1.0,"started_ms":{started}}}"#))
}

/// Bytes of a response that holds a list.
pub fn list_response(endpoints: &[Endpoint], is_complete: bool) -> u64 {
    let entries: u64 = endpoints.iter().map(list_entry).sum();
    let commas = endpoints.len().saturating_sub(1) as u64;
    let frame = length(format_args!(r#"{{"version":1000,"full":{is_complete},"servers":[]}}"#));
    let body = entries + commas + frame;
    length(format_args!("HTTP/1.1 200 OK\r\nContent-Length: {body}\r\n\r\n")) + body
}
