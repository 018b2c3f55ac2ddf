//! What the connections of all clients share.

use crate::node::{
    connection::clients::{handler::RequestHandler, memory::BodyMemory},
    hot_restart::replica_counts::ReplicaCounts,
    metrics::Metrics,
};
use hyper::StatusCode;
use oliverack::Options;
use std::{cell::Cell, rc::Rc};

/// See the [module](self).
pub struct ConnectionContext {
    /// Serves the requests.
    pub handler: Box<dyn RequestHandler>,
    /// The classes and plans that requests may name.
    pub options: Options,
    /// Counts the requests.
    pub metrics: Rc<Metrics>,
    /// The processes that share the connection budget.
    pub replica_counts: Rc<ReplicaCounts>,
    /// Memory for bodies and streams.
    pub memory: BodyMemory,
    /// A shutdown has begun: each response closes its connection.
    pub is_stopping: Cell<bool>,
}

impl ConnectionContext {
    /// Bodies of all clients together hold at most `body_memory` bytes.
    pub fn new(
        handler: Box<dyn RequestHandler>,
        options: Options,
        metrics: Rc<Metrics>,
        replica_counts: Rc<ReplicaCounts>,
        body_memory: usize,
    ) -> Self {
        let memory = BodyMemory::new(body_memory, replica_counts.clone());
        Self { handler, options, metrics, replica_counts, memory, is_stopping: Cell::new(false) }
    }

    /// The status of the health check for load balancers in front of the gateway.
    pub fn health_status(&self) -> StatusCode {
        if self.is_stopping.get() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }
    }
}
