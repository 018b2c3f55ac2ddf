//! Requests of clients, and the results of attempts to serve them.

use crate::interface::{CustomerId, RequestId, Time};

/// A client's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Identifier, unique for the lifetime of a gateway.
    pub id: RequestId,
    /// Units that the request takes from the customer's quota.
    pub units: f64,
    /// Time at which the client stops waiting.
    pub deadline: Time,
    /// Index of the customer's plan in the settings.
    pub plan: usize,
    /// Number of gateways that receive this customer's requests.
    pub customer_gateway_count: u32,
    /// Index of the first of those gateways. The others follow in order, and index 0 follows the last index.
    pub first_gateway: u32,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// True if the client marked the request as a retry.
    pub is_retry: bool,
}

/// Result of an attempt or a counter call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Succeeded.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Rejected without being run.
    Rejected,
    /// Not answered in time; may have run.
    Timeout,
    /// No connection could be opened.
    ConnectFailed,
    /// Lost its connection; may have run.
    Reset,
    /// Cancelled by the gateway; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Status {
    /// Returns whether an attempt with this result certainly did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// Load report of an endpoint. A value that the endpoint did not report is `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[non_exhaustive]
pub struct LoadReport {
    /// Requests in flight at the endpoint.
    pub in_flight: Option<f64>,
    /// Share of the processor in use, from 0 to 1.
    pub utilization: Option<f64>,
}
