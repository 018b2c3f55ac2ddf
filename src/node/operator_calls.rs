//! Executes the calls of operators.

use crate::node::{
    connection::{
        clients::ClientListener,
        operators::{MaintenanceError, Operations},
    },
    metrics::Metrics,
    runtime::driver::Driver,
};
use std::rc::Rc;

/// State that operators read and change.
pub struct OperatorCalls {
    /// Driver that holds the state of the endpoints.
    pub driver: Rc<Driver>,
    /// Server of client connections, which tells whether new ones are accepted.
    pub clients: Rc<ClientListener>,
    /// Metrics that operators read.
    pub metrics: Rc<Metrics>,
    /// Names of the classes, by class index.
    pub class_names: Vec<String>,
}

impl Operations for OperatorCalls {
    fn is_accepting(&self) -> bool {
        self.clients.is_accepting()
    }

    fn render_metrics(&self) -> String {
        self.metrics.render(&self.class_names, self.driver.endpoint_counts())
    }

    fn set_maintenance(&self, id: &str, in_maintenance: bool) -> Result<(), MaintenanceError> {
        self.driver.maintenance().set_and_store(id, in_maintenance)
    }
}
