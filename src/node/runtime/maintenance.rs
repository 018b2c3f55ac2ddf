//! Puts endpoints into maintenance and takes them out, as operators request.

use crate::node::{
    connection::{endpoint_pool::EndpointPool, operators::MaintenanceError},
    hot_restart::{maintenance_file::MaintenanceFile, replica_table::ReplicaTable},
    runtime::policy_loop::PolicyLoop,
};
use oliverack::{EndpointId, Event};
use std::rc::Rc;
use tracing::{info, warn};

/// Applies changes of maintenance in this process, in the replica processes and in the maintenance file.
pub struct Maintenance {
    policy: Rc<PolicyLoop>,
    endpoints: Rc<EndpointPool>,
    replicas: Rc<ReplicaTable>,
    /// Maintenance file; `None` if there are no operator calls, or no folder for the file.
    file: Option<MaintenanceFile>,
}

impl Maintenance {
    /// Creates the part that handles maintenance of the endpoints of `policy`.
    pub fn new(
        policy: Rc<PolicyLoop>,
        endpoints: Rc<EndpointPool>,
        replicas: Rc<ReplicaTable>,
        file: Option<MaintenanceFile>,
    ) -> Self {
        Self { policy, endpoints, replicas, file }
    }

    /// Restores the endpoints in maintenance that the last process stored. Logs a warning if the file can't be read.
    pub fn restore(&self) {
        let stored = self.file.as_ref().map_or(Ok(Vec::new()), MaintenanceFile::load);
        let endpoints = match stored {
            Ok(endpoints) => endpoints,
            Err(error) => {
                warn!(reason = %error, "endpoints in maintenance could not be restored");
                return;
            }
        };
        for endpoint in endpoints {
            self.policy.post(Event::MaintenanceChanged { endpoint, in_maintenance: true });
        }
    }

    /// Puts an endpoint into maintenance or takes it out, as an operator requests. The change is stored before this
    /// returns, as a confirmed change must survive an upgrade.
    ///
    /// # Errors
    /// No endpoint has this id, or the change could not be stored. A change that is not stored is in effect, but lost
    /// when the running processes end.
    pub fn set_and_store(&self, id: &str, in_maintenance: bool) -> Result<(), MaintenanceError> {
        let endpoint: EndpointId = id.into();
        if !self.policy.is_known_endpoint(&endpoint) {
            return Err(MaintenanceError::UnknownEndpoint);
        }
        self.replicas.notify_maintenance(&endpoint, in_maintenance);
        self.set(&endpoint, in_maintenance);
        let Some(file) = &self.file else { return Ok(()) };
        let endpoints = self.policy.endpoints_in_maintenance();
        file.store(endpoints.iter()).map_err(MaintenanceError::NotStored)
    }

    /// Puts an endpoint into maintenance or takes it out, in this process only.
    pub fn set(&self, endpoint: &EndpointId, in_maintenance: bool) {
        if in_maintenance {
            info!(endpoint = %endpoint, "endpoint put into maintenance");
        } else {
            info!(endpoint = %endpoint, "endpoint taken out of maintenance");
        }
        self.endpoints.retire_connections(endpoint);
        self.policy.post(Event::MaintenanceChanged { endpoint: endpoint.clone(), in_maintenance });
    }
}
