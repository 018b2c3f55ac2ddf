//! The endpoints that operators have put into maintenance.

use crate::node::{
    connection::{endpoint_pool::EndpointPool, operators::MaintenanceError},
    hot_restart::{maintenance_file::MaintenanceFile, replica_table::ReplicaTable},
    runtime::policy_loop::PolicyLoop,
};
use oliverack::{EndpointId, Event};
use std::rc::Rc;
use tracing::{info, warn};

/// Applies what operators say about maintenance here, at the replica processes and in the file.
pub struct Maintenance {
    policy: Rc<PolicyLoop>,
    endpoints: Rc<EndpointPool>,
    replicas: Rc<ReplicaTable>,
    /// `None` if there are no operator calls, or no folder for the file.
    file: Option<MaintenanceFile>,
}

impl Maintenance {
    /// Maintenance of the endpoints of `policy`.
    pub fn new(
        policy: Rc<PolicyLoop>,
        endpoints: Rc<EndpointPool>,
        replicas: Rc<ReplicaTable>,
        file: Option<MaintenanceFile>,
    ) -> Self {
        Self { policy, endpoints, replicas, file }
    }

    /// Restores the endpoints in maintenance that the last process has stored.
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

    /// Puts an endpoint into maintenance or takes it out, on the word of an operator. Stored before this
    /// returns, as a confirmation must hold over an upgrade.
    ///
    /// # Errors
    /// No endpoint has this id, or the change could not be stored and holds in this process alone.
    pub fn set_and_store(&self, id: &str, in_maintenance: bool) -> Result<(), MaintenanceError> {
        let endpoint: EndpointId = id.into();
        if !self.policy.is_known_endpoint(&endpoint) {
            return Err(MaintenanceError::UnknownEndpoint);
        }
        self.replicas.notify_maintenance(&endpoint, in_maintenance);
        self.set(&endpoint, in_maintenance);
        let Some(file) = &self.file else { return Ok(()) };
        let endpoints = self.policy.endpoints_in_maintenance();
        file.store(endpoints.iter()).map_err(MaintenanceError::NotKept)
    }

    /// Puts an endpoint into maintenance or takes it out, on the word of an operator or a replica process.
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
