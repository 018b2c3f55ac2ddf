//! What all conversations with clients share.

use crate::node::{
    connection::clients::{handler::RequestHandler, memory::BodyMemory},
    hot_restart::replica_counts::Processes,
    metrics::Metrics,
};
use hyper::StatusCode;
use oliverack::Options;
use std::{cell::Cell, rc::Rc};

/// What the clients' connections stand on.
pub struct Context {
    /// Takes their requests.
    pub handler: Box<dyn RequestHandler>,
    /// What requests may name.
    pub options: Options,
    /// Counts their requests.
    pub metrics: Rc<Metrics>,
    /// Shares what they may hold.
    pub processes: Rc<Processes>,
    /// What bodies and streams may hold.
    pub memory: BodyMemory,
    /// From now on every answer closes its connection.
    pub is_stopping: Cell<bool>,
}

impl Context {
    /// Holds so many bytes of bodies at most.
    pub fn new(
        handler: Box<dyn RequestHandler>,
        options: Options,
        metrics: Rc<Metrics>,
        processes: Rc<Processes>,
        bodies: usize,
    ) -> Self {
        let memory = BodyMemory::new(bodies, processes.clone());
        Self { handler, options, metrics, processes, memory, is_stopping: Cell::new(false) }
    }

    /// What a front is told that asks whether clients are taken.
    pub fn up(&self) -> StatusCode {
        if self.is_stopping.get() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }
    }
}
