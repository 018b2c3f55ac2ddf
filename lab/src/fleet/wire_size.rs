//! Bytes of each message as it would stand on the wire. Nothing is kept: texts are measured as they are formatted.

use super::configuration::RepeatEffect;
use oliverack::{Endpoint, Lifecycle};
use std::fmt::{self, Write};

/// Bytes of the value of `X-Txn`.
const TRANSACTION: usize = 16;
/// Bytes of the value of `Idempotency-Key`.
const IDEMPOTENCY_KEY: usize = 32;
/// The longest incarnation of a name at the counter, in milliseconds.
const LONGEST_LIFE_MS: f64 = 60_000.0;

/// Counts the bytes that are written to it.
#[derive(Debug, Default)]
struct Length(u64);

impl Write for Length {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0 += text.len() as u64;
        Ok(())
    }
}

fn length(text: fmt::Arguments<'_>) -> u64 {
    let mut length = Length::default();
    // Counting cannot fail, and the values that are formatted here do not either.
    let _ = length.write_fmt(text);
    length.0
}

/// What the size of a request depends on.
#[derive(Debug, Clone, Copy)]
pub struct RequestHead<'a> {
    /// The class's name.
    pub class: &'a str,
    /// What a repeat may do: decides method, key and body.
    pub repeat: RepeatEffect,
    /// Seconds that are left.
    pub remaining: f64,
    /// Bytes of the body, where there is one.
    pub body: u64,
}

impl RequestHead<'_> {
    fn common(&self) -> u64 {
        let method = if self.repeat == RepeatEffect::Idempotent { "GET" } else { "POST" };
        let key = if self.repeat == RepeatEffect::IdempotencyKey {
            length(format_args!("Idempotency-Key: {:IDEMPOTENCY_KEY$}\r\n", ""))
        } else {
            0
        };
        let body = if self.repeat == RepeatEffect::Idempotent {
            0
        } else {
            length(format_args!("Content-Length: {}\r\n", self.body)) + self.body
        };
        let start = length(format_args!("{method} /{} HTTP/1.1\r\nHost: backend.local\r\n", self.class));
        let names = length(format_args!("X-Txn: {:TRANSACTION$}\r\n", ""));
        let remaining = length(format_args!("X-Remaining: {:.3}\r\n\r\n", self.remaining));
        start + names + key + body + remaining
    }
}

/// What the size of a client's request depends on beside its head.
#[derive(Debug, Clone, Copy)]
pub struct Quota<'a> {
    /// The plan's name.
    pub plan: &'a str,
    /// Units that the request takes.
    pub units: f64,
    /// How many gateways carry the customer.
    pub spread: u32,
    /// The first of them.
    pub first: u32,
    /// It is marked as a repeat.
    pub resent: bool,
}

/// A client's request to a gateway.
pub fn client_request(head: &RequestHead<'_>, quota: &Quota<'_>) -> u64 {
    let names = length(format_args!(
        "X-Lane: {}\r\nX-Plan: {}\r\nX-Customer: 0123456789abcdef\r\n",
        head.class, quota.plan
    ));
    let figures = length(format_args!(
        "X-Quota: units={},spread={},first={}\r\n",
        quota.units, quota.spread, quota.first
    ));
    let resent = if quota.resent { length(format_args!("X-Resent: 1\r\n")) } else { 0 };
    head.common() + names + figures + resent
}

/// An attempt from a gateway to a endpoint.
pub fn attempt(head: &RequestHead<'_>) -> u64 {
    head.common()
}

/// An answer that serves a request.
pub fn served(body: u64) -> u64 {
    length(format_args!("HTTP/1.1 200 OK\r\nContent-Length: {body}\r\n\r\n")) + body
}

/// A refusal, with the advice to stay away if there is any.
pub fn rejected(retry_after: f64) -> u64 {
    let advice =
        if retry_after > 0.0 { length(format_args!("Retry-After: {retry_after:.3}\r\n")) } else { 0 };
    length(format_args!("HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")) + advice
}

/// An answer that fails a request.
pub fn failed() -> u64 {
    length(format_args!("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"))
}

/// A endpoint's answer that turns an attempt away.
pub fn endpoint_rejected() -> u64 {
    length(format_args!("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"))
}

/// A call to the counter.
pub fn counter_call(name: u64, amount: f64, incarnation: f64) -> u64 {
    let milliseconds = (incarnation * 1000.0).round().clamp(1.0, LONGEST_LIFE_MS) as u64;
    length(format_args!("bump {name} {amount} {milliseconds}\r\n"))
}

/// The counter's answer to a call that it served.
pub fn counter_total(total: f64) -> u64 {
    length(format_args!("ok {total}\r\n"))
}

/// The counter's answer to a call that it turned away.
pub fn counter_busy() -> u64 {
    length(format_args!("busy\r\n"))
}

/// A call for the whole list.
pub fn list_call() -> u64 {
    length(format_args!("GET /discovery/hosts HTTP/1.1\r\nHost: backend.local\r\n\r\n"))
}

/// A call that watches for changes.
pub fn watch_call(version: u64, hold: f64) -> u64 {
    let milliseconds = (hold * 1000.0) as u64;
    length(format_args!(
        "GET /discovery/hosts?from={version}&hold_ms={milliseconds} HTTP/1.1\r\nHost: backend.local\r\n\r\n"
    ))
}

/// One entry of the list.
fn list_entry(endpoint: &Endpoint) -> u64 {
    let state = match endpoint.lifecycle {
        Lifecycle::Running => "SERVING",
        Lifecycle::Draining => "DRAINING",
        Lifecycle::Gone => "DELETED",
    };
    let started = (endpoint.started * 1000.0) as u64;
    let place = length(format_args!(
        r#"{{"id":"{}","addr":"10.1.0.18:8443","zone":"{}","kind":"m2","cell":{},"#,
        endpoint.id, endpoint.zone, endpoint.cell
    ));
    place + length(format_args!(r#""state":"{state}","weight":1.0,"started_ms":{started}}}"#))
}

/// An answer that holds a list.
pub fn list_answer(endpoints: &[Endpoint], full: bool) -> u64 {
    let entries: u64 = endpoints.iter().map(list_entry).sum();
    let commas = endpoints.len().saturating_sub(1) as u64;
    let frame = length(format_args!(r#"{{"version":1000,"full":{full},"servers":[]}}"#));
    let body = entries + commas + frame;
    length(format_args!("HTTP/1.1 200 OK\r\nContent-Length: {body}\r\n\r\n")) + body
}
