//! Parses clients' requests into the terms of the settings, and builds the requests to endpoints from them.

use crate::node::wire::{
    request_head::RequestHead,
    stream::{OutgoingBody, RequestBody},
};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri, header, header::HeaderValue};
use oliverack::Options;
use thiserror::Error;

/// Longest transaction id.
const MAX_TRANSACTION_ID_LENGTH: usize = 64;
/// Longest time that a client may wait, in seconds; real deadlines are far below it.
const MAX_REMAINING_SECONDS: f64 = 3600.0;
/// Customers are numbered below this.
const CUSTOMER_NUMBER_LIMIT: u64 = 1 << 33;
/// Hexadecimal digits of a customer's number.
const CUSTOMER_DIGITS: usize = 16;

/// Why a request was rejected before the policy saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidRequest {
    #[error("header {0} is missing, duplicated or invalid")]
    Header(&'static str),
    #[error("the path does not begin with the class, or the method is neither GET nor POST")]
    Target,
}

impl InvalidRequest {
    /// The status that tells the client.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Header(_) | Self::Target => StatusCode::BAD_REQUEST,
        }
    }
}

/// What is forwarded to an endpoint.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The client's method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// The transaction id, unique for each request of a client.
    pub transaction_id: HeaderValue,
    /// Endpoints of a group recognize a retry by it; without it a keyed request would run again.
    pub idempotency_key: Option<HeaderValue>,
    /// The client's content type.
    pub content_type: Option<HeaderValue>,
    /// The client's body.
    pub body: RequestBody,
}

impl UpstreamRequest {
    /// Builds the request for one attempt that the gateway waits `wait_seconds` for; `None` if a streamed body was
    /// already sent in an earlier attempt.
    pub fn build_attempt_request(&self, wait_seconds: f64) -> Option<Request<OutgoingBody>> {
        let mut request = Request::new(self.body.take()?);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(header::HOST, HeaderValue::from_static("backend.local"));
        headers.insert("x-txn", self.transaction_id.clone());
        if let Ok(wait) = HeaderValue::try_from(format!("{wait_seconds:.3}")) {
            headers.insert("x-remaining", wait);
        }
        if let Some(key) = &self.idempotency_key {
            headers.insert("idempotency-key", key.clone());
        }
        if let Some(content_type) = &self.content_type {
            headers.insert(header::CONTENT_TYPE, content_type.clone());
        }
        Some(request)
    }
}

/// A client's request in the terms of the settings.
#[derive(Debug)]
pub struct ClientRequest {
    /// The index of its class.
    pub class: usize,
    /// The index of its customer's plan.
    pub plan: usize,
    /// Its customer, in the canonical spelling: all gateways derive the names of counts from it.
    pub customer: String,
    /// Units that it takes from the quota.
    pub units: f64,
    /// How many gateways receive the customer's requests.
    pub customer_gateway_count: u32,
    /// The index of the first of these gateways.
    pub first_gateway: u32,
    /// Seconds that the client waits for the response.
    pub remaining_seconds: f64,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// What is forwarded to an endpoint. Its body is empty until the caller has read it.
    pub upstream: UpstreamRequest,
}

impl ClientRequest {
    /// Parses and validates a request; the policy never sees an invalid one.
    ///
    /// # Errors
    /// A header or the request line is invalid.
    pub fn parse(head: &RequestHead, options: &Options) -> Result<Self, InvalidRequest> {
        let headers = &head.headers;
        let class = parse_class(head, options)?;
        let plan =
            required(headers, "x-plan", |name| options.plan_names.iter().position(|plan| plan == name))?;
        let customer = required(headers, "x-customer", parse_customer)?;
        let remaining_seconds = required(headers, "x-remaining", parse_remaining)?;
        let quota = required(headers, "x-quota", |text| Quota::parse(text, options))?;
        let transaction_id = required(headers, "x-txn", parse_transaction_id)?;
        let path_and_query = head.uri.path_and_query().cloned().ok_or(InvalidRequest::Target)?;
        Ok(Self {
            class,
            plan,
            customer,
            units: quota.units,
            customer_gateway_count: quota.customer_gateway_count,
            first_gateway: quota.first_gateway,
            remaining_seconds,
            is_retry: parse_retry_mark(headers)?,
            upstream: UpstreamRequest {
                uri: path_and_query.into(),
                transaction_id,
                idempotency_key: headers.get("idempotency-key").cloned(),
                content_type: headers.get(header::CONTENT_TYPE).cloned(),
                method: head.method.clone(),
                body: RequestBody::Buffered(Bytes::new()),
            },
        })
    }
}

/// The value of a header that must be present once and pass `parse`.
fn required<'a, T>(
    headers: &'a HeaderMap,
    name: &'static str,
    parse: impl FnOnce(&'a str) -> Option<T>,
) -> Result<T, InvalidRequest> {
    single_value(headers, name).and_then(parse).ok_or(InvalidRequest::Header(name))
}

/// The only value of a header, trimmed; `None` if it is missing, duplicated or not text.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok().map(str::trim)
}

/// The index of the class, which the path must repeat.
fn parse_class(head: &RequestHead, options: &Options) -> Result<usize, InvalidRequest> {
    let name = required(&head.headers, "x-lane", Some)?;
    let class = options.class_names.iter().position(|class| class == name);
    let class = class.ok_or(InvalidRequest::Header("x-lane"))?;
    let is_path_of_class = head.uri.path().split('/').nth(1) == Some(name);
    if is_path_of_class && matches!(head.method, Method::GET | Method::POST) {
        Ok(class)
    } else {
        Err(InvalidRequest::Target)
    }
}

/// A customer's number of exactly sixteen digits, in the canonical spelling.
fn parse_customer(text: &str) -> Option<String> {
    // Digits only: parsing in the standard library would also accept a sign.
    if text.len() != CUSTOMER_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let number = u64::from_str_radix(text, 16).ok()?;
    (number < CUSTOMER_NUMBER_LIMIT).then(|| format!("{number:016x}"))
}

fn parse_remaining(text: &str) -> Option<f64> {
    parse_decimal(text).filter(|seconds| *seconds <= MAX_REMAINING_SECONDS)
}

fn parse_transaction_id(text: &str) -> Option<HeaderValue> {
    let has_valid_length = (1..=MAX_TRANSACTION_ID_LENGTH).contains(&text.len());
    if !has_valid_length || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return None;
    }
    HeaderValue::from_str(text).ok()
}

/// Whether the client marked its request as a retry; unmarked ones are none.
fn parse_retry_mark(headers: &HeaderMap) -> Result<bool, InvalidRequest> {
    if !headers.contains_key("x-resent") {
        return Ok(false);
    }
    required(headers, "x-resent", |text| match text {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    })
}

/// A plain decimal number: no sign, exponent or special value, all of which the standard library would accept.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|value: &f64| is_plain && value.is_finite())
}

/// The quota header, in our terms.
struct Quota {
    units: f64,
    customer_gateway_count: u32,
    first_gateway: u32,
}

impl Quota {
    /// Parses `units=2,spread=3,first=1`, in any order, each once; other names are ignored.
    fn parse(text: &str, options: &Options) -> Option<Self> {
        let mut units = None;
        let mut spread = None;
        let mut first = None;
        for part in text.split(',') {
            let (name, value) = part.trim().split_once('=')?;
            let slot = match name {
                "units" => &mut units,
                "spread" => &mut spread,
                "first" => &mut first,
                _ => continue,
            };
            if slot.replace(parse_decimal(value)?).is_some() {
                return None;
            }
        }
        let quota = Self {
            units: units?,
            customer_gateway_count: whole_number(spread?)?,
            first_gateway: whole_number(first?)?,
        };
        quota.is_valid(options).then_some(quota)
    }

    fn is_valid(&self, options: &Options) -> bool {
        let gateway_count = options.settings.gateway_count;
        self.units > 0.0
            && self.units <= options.settings.max_units
            && (1..=gateway_count).contains(&self.customer_gateway_count)
            && self.first_gateway < gateway_count
    }
}

/// The number as an integer, if it is one that fits.
fn whole_number(value: f64) -> Option<u32> {
    (value.fract() == 0.0 && value <= f64::from(u32::MAX)).then_some(value as u32)
}
