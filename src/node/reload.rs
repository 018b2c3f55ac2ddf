//! A new configuration, told by SIGHUP.

use crate::node::{config::Config, runtime::driver::Driver};
use std::{net::SocketAddr, rc::Rc};
use tokio::{signal::unix::Signal, sync::watch};
use tracing::{info, warn};

/// On each SIGHUP reads the configuration anew and moves discovery and counter to where it says; all else in
/// it holds for the life of the process. A file that can't be used changes nothing.
pub async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>, driver: Rc<Driver>) {
    while hangup.recv().await.is_some() {
        match Config::load() {
            Ok(config) => {
                let counter = config.counter.map_or("none".to_owned(), |c| c.to_string());
                info!(discovery = %config.discovery, %counter, "configuration reloaded");
                discovery.send_replace(config.discovery);
                driver.move_counter(config.counter);
            }
            Err(error) => warn!(reason = %error, "reload failed, the old configuration stays"),
        }
    }
}
