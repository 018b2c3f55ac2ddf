//! Requests as clients send them, and how attempts to serve them end.

use crate::interface::{CustomerId, RequestId, Time};

/// A client's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Units that it takes from the customer's quota.
    pub units: f64,
    /// When the client gives up.
    pub deadline: Time,
    /// Index of the customer's plan in the settings.
    pub plan: usize,
    /// How many gateways receive this customer's requests.
    pub customer_gateway_count: u32,
    /// Index of the first of those gateways. The others follow in order, and index 0 comes after the last.
    pub first_gateway: u32,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The client marked it as a retry.
    pub is_retry: bool,
}

/// How an attempt or a counter call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It succeeded.
    Ok,
    /// It was answered with an error; it may have run.
    Error,
    /// It was rejected without being looked at.
    Rejected,
    /// It was not answered in time; it may have run.
    Timeout,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// It was cancelled from this side; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Status {
    /// Whether an attempt that ended like this certainly did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// An endpoint's load report. Values that the endpoint did not give are `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[non_exhaustive]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Share of the processor in use, from 0 to 1.
    pub utilization: Option<f64>,
}
