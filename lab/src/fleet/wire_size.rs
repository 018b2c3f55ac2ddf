//! Size of each message on the wire, in bytes. Messages are formatted into a byte counter, so that no text is stored.

use super::configuration::RepeatEffect;
use oliverack::{Endpoint, Lifecycle, Seconds, Status};
use std::fmt::{self, Write};

/// Length of the value of `X-Txn`.
const TRANSACTION_ID_BYTES: usize = 16;
/// Length of the value of `Idempotency-Key`.
const IDEMPOTENCY_KEY_BYTES: usize = 32;
/// Maximum time to live in a counter call.
const MAX_TTL_MILLISECONDS: f64 = 60_000.0;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Writer that only counts the bytes written to it.
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
    // Writing to `ByteCount` and formatting these values never fail.
    let _ = count.write_fmt(text);
    count.0
}

/// Properties of a request on which its size depends, both from a client and to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct RequestHead<'a> {
    /// Name of the class.
    pub class: &'a str,
    /// Effect of repeated execution, which decides the method, the idempotency key and the body.
    pub repeat_effect: RepeatEffect,
    /// Time left until the deadline.
    pub remaining: Seconds,
    /// Size of the body, for classes that have one.
    pub body_bytes: u64,
}

impl RequestHead<'_> {
    /// Returns the size of the parts that a client's request and an attempt have in common.
    fn common_bytes(&self) -> u64 {
        let method = if self.repeat_effect == RepeatEffect::Idempotent { "GET" } else { "POST" };
        let idempotency_key_header = if self.repeat_effect == RepeatEffect::IdempotencyKey {
            length(format_args!("Idempotency-Key: {:IDEMPOTENCY_KEY_BYTES$}\r\n", ""))
        } else {
            0
        };
        let body_with_header = if self.repeat_effect == RepeatEffect::Idempotent {
            0
        } else {
            length(format_args!("Content-Length: {}\r\n", self.body_bytes)) + self.body_bytes
        };
        let request_line_and_host =
            length(format_args!("{method} /{} HTTP/1.1\r\nHost: backend.local\r\n", self.class));
        let transaction_id_header = length(format_args!("X-Txn: {:TRANSACTION_ID_BYTES$}\r\n", ""));
        let remaining_header = length(format_args!("X-Remaining: {:.3}\r\n\r\n", self.remaining));
        request_line_and_host
            + transaction_id_header
            + idempotency_key_header
            + body_with_header
            + remaining_header
    }
}

/// Values of the headers of a client's request that concern its quota.
#[derive(Debug, Clone, Copy)]
pub struct QuotaHeaders<'a> {
    /// Name of the plan.
    pub plan: &'a str,
    /// Units that the request takes from the quota.
    pub units: f64,
    /// Number of gateways that serve the customer.
    pub gateway_count: u32,
    /// Index of the first gateway that serves the customer.
    pub first_gateway: u32,
    /// True if the request is marked as a retry.
    pub is_retry: bool,
}

/// Returns the size of a client's request to a gateway.
pub fn client_request(head: &RequestHead<'_>, quota: &QuotaHeaders<'_>) -> u64 {
    let identity_headers = length(format_args!(
        "X-Lane: {}\r\nX-Plan: {}\r\nX-Customer: 0123456789abcdef\r\n",
        head.class, quota.plan
    ));
    let quota_header = length(format_args!(
        "X-Quota: units={},spread={},first={}\r\n",
        quota.units, quota.gateway_count, quota.first_gateway
    ));
    let retry_header = if quota.is_retry { length(format_args!("X-Resent: 1\r\n")) } else { 0 };
    head.common_bytes() + identity_headers + quota_header + retry_header
}

/// Returns the size of an attempt from a gateway to an endpoint.
pub fn attempt(head: &RequestHead<'_>) -> u64 {
    head.common_bytes()
}

/// Returns the size of a response that serves a request or an attempt.
pub fn served(body_bytes: u64) -> u64 {
    length(format_args!("HTTP/1.1 200 OK\r\nContent-Length: {body_bytes}\r\n\r\n")) + body_bytes
}

/// Returns the size of a gateway's rejection; `retry_after` is 0 if it has no `Retry-After`.
pub fn rejected(retry_after: Seconds) -> u64 {
    let retry_after_header =
        if retry_after > 0.0 { length(format_args!("Retry-After: {retry_after:.3}\r\n")) } else { 0 };
    length(format_args!("HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")) + retry_after_header
}

/// Returns the size of a gateway's response that fails a request.
pub fn failed() -> u64 {
    length(format_args!("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"))
}

/// Returns the size of an endpoint's response that rejects an attempt.
pub fn endpoint_rejected() -> u64 {
    length(format_args!("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"))
}

/// Returns the size of an endpoint's response for the status of an attempt; `None` if such an attempt has no
/// response.
pub fn attempt_response(status: Status, body_bytes: u64) -> Option<u64> {
    match status {
        Status::Ok => Some(served(body_bytes)),
        Status::Rejected => Some(endpoint_rejected()),
        _ => None,
    }
}

/// Returns the size of a call to the counter.
pub fn counter_call(name: u64, amount: f64, ttl: Seconds) -> u64 {
    let milliseconds = (ttl * MILLISECONDS_PER_SECOND).round().clamp(1.0, MAX_TTL_MILLISECONDS) as u64;
    length(format_args!("bump {name} {amount} {milliseconds}\r\n"))
}

/// Returns the size of the counter's response to a call that it has served.
pub fn counter_total(total: f64) -> u64 {
    length(format_args!("ok {total}\r\n"))
}

/// Returns the size of the counter's response to a call that it rejects.
pub fn counter_busy() -> u64 {
    length(format_args!("busy\r\n"))
}

/// Returns the size of a request for the complete endpoint list.
pub fn list_request() -> u64 {
    length(format_args!("GET /discovery/hosts HTTP/1.1\r\nHost: backend.local\r\n\r\n"))
}

/// Returns the size of a request that watches for changes after `version` and is held for up to `hold`.
pub fn watch_request(version: u64, hold: Seconds) -> u64 {
    let milliseconds = (hold * MILLISECONDS_PER_SECOND) as u64;
    length(format_args!(
        "GET /discovery/hosts?from={version}&hold_ms={milliseconds} HTTP/1.1\r\nHost: backend.local\r\n\r\n"
    ))
}

/// Returns the size of an entry of the endpoint list.
fn list_entry(endpoint: &Endpoint) -> u64 {
    let state = match endpoint.lifecycle {
        Lifecycle::Running => "SERVING",
        Lifecycle::Draining => "DRAINING",
        Lifecycle::Gone => "DELETED",
    };
    let started_milliseconds = (endpoint.started * MILLISECONDS_PER_SECOND) as u64;
    let identity_fields = length(format_args!(
        r#"{{"id":"{}","addr":"10.1.0.18:8443","zone":"{}","kind":"m2","cell":{},"#,
        endpoint.id, endpoint.zone, endpoint.cell
    ));
    identity_fields
        + length(format_args!(r#""state":"{state}","weight":1.0,"started_ms":{started_milliseconds}}}"#))
}

/// Returns the size of a response with the endpoint list, or with changes of it.
pub fn list_response(endpoints: &[Endpoint], is_complete: bool) -> u64 {
    let entries_bytes: u64 = endpoints.iter().map(list_entry).sum();
    let comma_bytes = endpoints.len().saturating_sub(1) as u64;
    let envelope_bytes = length(format_args!(r#"{{"version":1000,"full":{is_complete},"servers":[]}}"#));
    let body_bytes = entries_bytes + comma_bytes + envelope_bytes;
    length(format_args!("HTTP/1.1 200 OK\r\nContent-Length: {body_bytes}\r\n\r\n")) + body_bytes
}
