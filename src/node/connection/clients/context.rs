//! State shared by the connections of all clients.

use crate::node::{
    connection::{
        body_memory::BodyMemory,
        clients::{handler::RequestHandler, hold_up::HoldUpMonitor},
    },
    hot_restart::replica_counts::ReplicaCounts,
    metrics::Metrics,
};
use hyper::StatusCode;
use oliverack::Options;
use std::{cell::Cell, rc::Rc, time::Instant};

/// State shared by the connections of all clients.
pub struct ConnectionContext {
    /// Processor of all valid requests.
    pub handler: Box<dyn RequestHandler>,
    /// Classes, plans and settings against which requests are validated.
    pub options: Options,
    /// Counters of requests and their outcomes.
    pub metrics: Rc<Metrics>,
    /// Number of processes that share the budgets for connections and memory.
    pub replica_counts: Rc<ReplicaCounts>,
    /// Memory budget for bodies and streams.
    pub memory: Rc<BodyMemory>,
    /// Monitor that dates input which arrived while the process was held up.
    pub hold_ups: HoldUpMonitor,
    /// True if a shutdown has begun; each response then closes its connection.
    pub is_stopping: Cell<bool>,
    /// True if the process may be killed before an endpoint could respond to a further request.
    pub rejects_requests: Cell<bool>,
}

impl ConnectionContext {
    /// Creates the shared state.
    pub fn new(
        handler: Box<dyn RequestHandler>,
        options: Options,
        metrics: Rc<Metrics>,
        replica_counts: Rc<ReplicaCounts>,
        memory: Rc<BodyMemory>,
    ) -> Self {
        let (is_stopping, rejects_requests) = (Cell::new(false), Cell::new(false));
        let hold_ups = HoldUpMonitor::new(Instant::now());
        Self { handler, options, metrics, replica_counts, memory, hold_ups, is_stopping, rejects_requests }
    }

    /// Returns the status of the health check for load balancers in front of the gateway.
    pub fn health_status(&self) -> StatusCode {
        if self.is_stopping.get() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }
    }
}
