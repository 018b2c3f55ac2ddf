//! What operators and other processes of this gateway ask for.

use crate::node::{
    connection::operators::MaintenanceError,
    hot_restart::{maintenance_file::MaintenanceFile, peer_connection::SiblingHandler},
    runtime::driver::Driver,
};
use oliverack::{EndpointId, Event, HandoverSnapshot};
use std::rc::Rc;
use tracing::{info, warn};

impl Driver {
    /// Takes over the endpoints left out that the last process has kept.
    pub fn restore_maintenance(self: &Rc<Self>) {
        match self.maintenance_file.as_ref().map_or(Ok(Vec::new()), MaintenanceFile::load) {
            Ok(out) => out
                .into_iter()
                .for_each(|endpoint| self.post(Event::MaintenanceChanged { endpoint, in_maintenance: true })),
            Err(error) => warn!(reason = %error, "endpoints in maintenance could not be restored"),
        }
    }

    /// The metrics for operators, as they stand.
    pub fn render_metrics(&self) -> String {
        let targets = self.gateway.borrow().endpoint_counts(self.clock.now());
        self.metrics.render(&self.config.options.classes, targets)
    }

    /// Leaves an endpoint out by hand, or puts it back. Kept before this returns, as a yes must hold over an upgrade.
    ///
    /// # Errors
    /// No endpoint has this id, or it holds in this process alone.
    pub fn set_and_store_maintenance(self: &Rc<Self>, id: &str, out: bool) -> Result<(), MaintenanceError> {
        let endpoint: EndpointId = id.into();
        if !self.gateway.borrow().knows_endpoint(&endpoint) {
            return Err(MaintenanceError::UnknownEndpoint);
        }
        self.siblings.tell(&endpoint, out);
        self.set_maintenance(&endpoint, out);
        let gateway = self.gateway.borrow();
        let stored =
            self.maintenance_file.as_ref().map_or(Ok(()), |file| file.store(gateway.in_maintenance()));
        stored.map_err(MaintenanceError::NotKept)
    }

    /// Operators have told this process, or one beside it.
    fn set_maintenance(self: &Rc<Self>, endpoint: &EndpointId, out: bool) {
        if out {
            info!(endpoint = %endpoint, "endpoint put into maintenance");
        } else {
            info!(endpoint = %endpoint, "endpoint taken out of maintenance");
        }
        self.endpoints.in_maintenance(endpoint);
        self.post(Event::MaintenanceChanged { endpoint: endpoint.clone(), in_maintenance: out });
    }
}

impl SiblingHandler for Rc<Driver> {
    fn inherit(&self, memory: HandoverSnapshot) {
        self.post(Event::SnapshotReceived(memory));
    }

    fn memory(&self) -> HandoverSnapshot {
        self.gateway.borrow().snapshot()
    }

    fn set_maintenance(&self, endpoint: &EndpointId, out: bool) {
        Driver::set_maintenance(self, endpoint, out);
    }

    fn processes_changed(&self) {
        let (place, of) = (self.processes.place(), self.processes.count());
        info!(place, processes = of, "processes at work for this gateway");
        self.endpoints.share(of as usize);
        self.post(Event::ReplicasChanged { index: place, count: of });
    }
}
