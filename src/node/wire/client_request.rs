//! Parses clients' requests, resolves the names in them against the settings, and builds the requests to endpoints.

use crate::node::wire::{
    request_head::RequestHead,
    stream::{OutgoingBody, RequestBody},
};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri, header, header::HeaderValue};
use oliverack::Options;
use thiserror::Error;

/// Longest transaction id, in bytes.
const MAX_TRANSACTION_ID_LENGTH: usize = 64;
/// Longest accepted time until a deadline, in seconds; real deadlines are far shorter.
const MAX_REMAINING_SECONDS: f64 = 3600.0;
/// Upper bound (exclusive) of customers' numbers.
const CUSTOMER_NUMBER_LIMIT: u64 = 1 << 33;
/// Length of a customer's number in hexadecimal digits.
const CUSTOMER_DIGITS: usize = 16;

/// Reason to reject a request before it reaches the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidRequest {
    #[error("header {0} is missing, duplicated or invalid")]
    Header(&'static str),
    #[error("the path does not begin with the class, or the method is neither GET nor POST")]
    Target,
}

impl InvalidRequest {
    /// Returns the status of the error response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Header(_) | Self::Target => StatusCode::BAD_REQUEST,
        }
    }
}

/// The parts of a client's request that are forwarded to an endpoint.
#[derive(Debug)]
pub struct UpstreamRequest {
    pub method: Method,
    /// Path and query of the client's request, unchanged.
    pub uri: Uri,
    /// Transaction id, unique among the requests of a client.
    pub transaction_id: HeaderValue,
    /// Key by which the endpoints of a group recognize a retry; without it they would run a keyed request again.
    pub idempotency_key: Option<HeaderValue>,
    pub content_type: Option<HeaderValue>,
    pub body: RequestBody,
}

impl UpstreamRequest {
    /// Returns the length of the parts of the head that are forwarded, in bytes.
    pub fn head_bytes(&self) -> usize {
        let headers = [Some(&self.transaction_id), self.idempotency_key.as_ref(), self.content_type.as_ref()];
        let header_bytes: usize = headers.into_iter().flatten().map(HeaderValue::len).sum();
        let target_bytes = self.uri.path_and_query().map_or(0, |target| target.as_str().len());
        target_bytes + header_bytes
    }

    /// Builds the request for one attempt, which tells the endpoint the attempt's timeout. Returns `None` if the body
    /// is streamed and an earlier attempt has taken it.
    pub fn build_attempt_request(&self, timeout_seconds: f64) -> Option<Request<OutgoingBody>> {
        let mut request = Request::new(self.body.take()?);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(header::HOST, HeaderValue::from_static("backend.local"));
        headers.insert("x-txn", self.transaction_id.clone());
        if let Ok(timeout) = HeaderValue::try_from(format!("{timeout_seconds:.3}")) {
            headers.insert("x-remaining", timeout);
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

/// A valid request of a client, with class and plan as indexes into the settings.
#[derive(Debug)]
pub struct ClientRequest {
    /// Index of the class in [`Options::class_names`].
    pub class: usize,
    /// Index of the customer's plan in [`Options::plan_names`].
    pub plan: usize,
    /// The customer's number in its canonical spelling, from which all gateways derive the names of counts.
    pub customer: String,
    /// Units of quota that the request takes.
    pub units: f64,
    /// Number of gateways that receive the customer's requests.
    pub customer_gateway_count: u32,
    /// Index of the first of these gateways.
    pub first_gateway: u32,
    /// Time in seconds that the client still waits for the response.
    pub remaining_seconds: f64,
    /// True if the client marked the request as a retry.
    pub is_retry: bool,
    /// The request to forward to an endpoint. The body is empty until the caller has read it from the client.
    pub upstream: UpstreamRequest,
}

impl ClientRequest {
    /// Parses and validates a request, so that the policy receives only valid ones.
    ///
    /// # Errors
    /// Returns an error if a header, the method or the path is invalid.
    pub fn parse(head: &RequestHead, options: &Options) -> Result<Self, InvalidRequest> {
        let headers = &head.headers;
        let class = parse_class(head, options)?;
        let plan =
            parse_header(headers, "x-plan", |name| options.plan_names.iter().position(|plan| plan == name))?;
        let customer = parse_header(headers, "x-customer", parse_customer)?;
        let remaining_seconds = parse_header(headers, "x-remaining", parse_remaining)?;
        let quota = parse_header(headers, "x-quota", |text| QuotaHeader::parse(text, options))?;
        let transaction_id = parse_header(headers, "x-txn", parse_transaction_id)?;
        let path_and_query = head.uri.path_and_query().cloned().ok_or(InvalidRequest::Target)?;
        Ok(Self {
            class,
            plan,
            customer,
            units: quota.units,
            customer_gateway_count: quota.customer_gateway_count,
            first_gateway: quota.first_gateway,
            remaining_seconds,
            is_retry: parse_is_retry(headers)?,
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

/// Returns the parsed value of a header that must be present exactly once.
fn parse_header<'a, T>(
    headers: &'a HeaderMap,
    name: &'static str,
    parse: impl FnOnce(&'a str) -> Option<T>,
) -> Result<T, InvalidRequest> {
    single_header_value(headers, name).and_then(parse).ok_or(InvalidRequest::Header(name))
}

/// Returns the only value of a header, trimmed; `None` if the header is missing, duplicated or not text.
fn single_header_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok().map(str::trim)
}

/// Returns the index of the class named in `x-lane`, which the first segment of the path must repeat.
fn parse_class(head: &RequestHead, options: &Options) -> Result<usize, InvalidRequest> {
    let name = parse_header(&head.headers, "x-lane", Some)?;
    let class = options.class_names.iter().position(|class| class == name);
    let class = class.ok_or(InvalidRequest::Header("x-lane"))?;
    let is_path_of_class = head.uri.path().split('/').nth(1) == Some(name);
    if is_path_of_class && matches!(head.method, Method::GET | Method::POST) {
        Ok(class)
    } else {
        Err(InvalidRequest::Target)
    }
}

/// Parses a customer's number of exactly sixteen hexadecimal digits, and returns it in lower case.
fn parse_customer(text: &str) -> Option<String> {
    // The standard library's parser would also accept a sign.
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

/// Returns whether the client marked the request as a retry; without the header it is not a retry.
fn parse_is_retry(headers: &HeaderMap) -> Result<bool, InvalidRequest> {
    if !headers.contains_key("x-resent") {
        return Ok(false);
    }
    parse_header(headers, "x-resent", |text| match text {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    })
}

/// Parses a plain decimal number. Rejects signs, exponents and special values, which the standard library accepts.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|value: &f64| is_plain && value.is_finite())
}

/// The values of the `x-quota` header.
struct QuotaHeader {
    units: f64,
    customer_gateway_count: u32,
    first_gateway: u32,
}

impl QuotaHeader {
    /// Parses values such as `units=2,spread=3,first=1`. All three must be present once, in any order; other names are
    /// ignored.
    fn parse(text: &str, options: &Options) -> Option<Self> {
        let mut units = None;
        let mut spread = None;
        let mut first = None;
        for part in text.split(',') {
            let (name, value) = part.trim().split_once('=')?;
            let target = match name {
                "units" => &mut units,
                "spread" => &mut spread,
                "first" => &mut first,
                _ => continue,
            };
            if target.replace(parse_decimal(value)?).is_some() {
                return None;
            }
        }
        let quota = Self {
            units: units?,
            customer_gateway_count: to_whole_number(spread?)?,
            first_gateway: to_whole_number(first?)?,
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

/// Converts a whole number; returns `None` if it has a fraction or is too large.
fn to_whole_number(value: f64) -> Option<u32> {
    (value.fract() == 0.0 && value <= f64::from(u32::MAX)).then_some(value as u32)
}
