//! Builds the parts of the process from its configuration. It starts none of them.

use crate::node::{
    config::Config,
    connection::clients::{ClientListener, ConnectionContext},
    descriptors::DescriptorBudget,
    error::NodeError,
    listener::inherit_listener,
    metrics::Metrics,
    runtime::driver::Driver,
};
use std::{net::SocketAddr, rc::Rc};
use tokio::net::TcpListener;

/// The parts of a gateway process.
pub struct Node {
    /// The configuration, without the endpoint list.
    pub config: Config,
    /// Driver of the policy.
    pub driver: Rc<Driver>,
    /// Server of client connections.
    pub clients: Rc<ClientListener>,
    /// Metrics that operators read.
    pub metrics: Rc<Metrics>,
    /// Listener for clients.
    pub listener: TcpListener,
    /// Address of the listener for clients, with the port that it is bound to.
    pub address: SocketAddr,
    /// Listener for operators; `None` if there are no operator calls.
    pub operator_listener: Option<TcpListener>,
}

impl Node {
    /// Opens the listeners and builds the other parts.
    ///
    /// # Errors
    /// A listener can't be opened, or the settings are invalid.
    pub async fn build(mut config: Config) -> Result<Self, NodeError> {
        let listener = open_listener(&config).await?;
        let address = listener.local_addr().map_err(NodeError::Listen)?;
        let operator_listener = open_operator_listener(&config).await?;
        let budget = DescriptorBudget::new(&config);
        let metrics = Metrics::new(config.options.class_names.len());
        // Not kept in the configuration, as lists from discovery replace it.
        let cached_endpoints = std::mem::take(&mut config.cached_endpoints);
        let driver = Driver::new(&config, cached_endpoints, budget.endpoints, &metrics)
            .map_err(NodeError::Settings)?;
        let clients = ClientListener::new(clients_context(&config, &driver, &metrics), budget.clients);
        Ok(Self { config, driver, clients, metrics, listener, address, operator_listener })
    }
}

async fn open_listener(config: &Config) -> Result<TcpListener, NodeError> {
    let listener = match config.accept_fd {
        Some(fd) => inherit_listener(fd),
        None => TcpListener::bind(config.listen).await,
    };
    listener.map_err(NodeError::Listen)
}

async fn open_operator_listener(config: &Config) -> Result<Option<TcpListener>, NodeError> {
    let Some(address) = config.operator else { return Ok(None) };
    TcpListener::bind(address).await.map(Some).map_err(NodeError::OperatorListen)
}

fn clients_context(config: &Config, driver: &Rc<Driver>, metrics: &Rc<Metrics>) -> ConnectionContext {
    ConnectionContext::new(
        Box::new(driver.requests().clone()),
        config.options.clone(),
        metrics.clone(),
        driver.replica_counts().clone(),
        driver.body_memory().clone(),
    )
}
