//! Reloads the configuration on SIGHUP.

use crate::node::{config::Config, runtime::driver::Driver};
use std::{net::SocketAddr, rc::Rc};
use tokio::{signal::unix::Signal, sync::watch};
use tracing::{info, warn};

/// Loads the configuration on each SIGHUP and applies its addresses of discovery and the counter. Other changes take
/// effect only with a restart, and an invalid configuration changes nothing.
pub async fn reload_on_hangup(
    mut hangup: Signal,
    discovery_address: watch::Sender<SocketAddr>,
    driver: Rc<Driver>,
) {
    while hangup.recv().await.is_some() {
        match Config::load() {
            Ok(config) => apply(&config, &discovery_address, &driver),
            Err(error) => warn!(reason = %error, "reload failed, the old configuration stays"),
        }
    }
}

fn apply(config: &Config, discovery_address: &watch::Sender<SocketAddr>, driver: &Driver) {
    let counter = config.counter.map_or("none".to_owned(), |address| address.to_string());
    info!(discovery = %config.discovery, %counter, "configuration reloaded");
    discovery_address.send_replace(config.discovery);
    driver.counter_calls().set_address(config.counter);
}
