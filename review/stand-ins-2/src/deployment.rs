//! A gateway with stand-ins for all that it talks to.

use crate::{
    gateway::{Folder, Gateway, free_address},
    record::Record,
    sites::{self, Addresses, Site},
    stand_ins::{Discovery, WorkerCall, entry, start_counter, start_worker},
};
use std::{fs, net::SocketAddr, sync::Arc, time::Duration};

/// The processes and stand-ins of a run. Fields are dropped in this order: the gateway ends before its folder is removed.
pub struct Deployment {
    pub gateway: Gateway,
    pub discovery: Discovery,
    site: Site,
    workers: Vec<SocketAddr>,
    counter: SocketAddr,
    folder: Folder,
}

fn entry_id(worker: usize) -> String {
    format!("s-{worker:08x}")
}

impl Deployment {
    /// Starts `worker_count` workers that answer by `answer`, and a gateway in front of them. `None` if the gateway does
    /// not get ready.
    pub fn start(
        site: Site,
        worker_count: usize,
        record: &Arc<Record>,
        answer: impl Fn(WorkerCall) -> bool + Send + Sync + 'static,
    ) -> Option<Self> {
        Self::start_with(site, worker_count, Duration::ZERO, record, answer)
    }

    /// Like [`start`](Self::start), with a discovery whose calls take `call_time`.
    pub fn start_with(
        site: Site,
        worker_count: usize,
        call_time: Duration,
        record: &Arc<Record>,
        answer: impl Fn(WorkerCall) -> bool + Send + Sync + 'static,
    ) -> Option<Self> {
        let answer = Arc::new(answer);
        let workers: Vec<SocketAddr> = (0..worker_count)
            .map(|worker| {
                let answer = answer.clone();
                start_worker(worker, record.clone(), move |call| answer(call))
            })
            .collect();
        let entries: Vec<(String, String)> = workers
            .iter()
            .enumerate()
            .map(|(worker, address)| (entry_id(worker), entry_of(site, worker, *address, "SERVING")))
            .collect();
        let discovery = Discovery::start(&entries, call_time);
        let folder = Folder::new();
        let (listen, counter) = (free_address(), start_counter());
        let known = discovery.whole();
        let addresses = Addresses { listen, discovery: discovery.address(), counter, known: &known };
        let gateway = Gateway::start(&folder.0, listen, &sites::config(site, &addresses))?;
        record.line("the gateway is ready");
        Some(Self { gateway, discovery, site, workers, counter, folder })
    }

    /// Lets discovery list a worker in this state.
    pub fn set_state(&self, worker: usize, state: &str) {
        self.discovery.change(&entry_id(worker), entry_of(self.site, worker, self.workers[worker], state));
    }

    /// Moves discovery to another address, replaces the configuration file and sends SIGHUP.
    pub fn reconfigure(&self) -> Option<()> {
        let addresses = Addresses {
            listen: self.gateway.address,
            discovery: self.discovery.move_on(),
            counter: self.counter,
            known: &self.discovery.whole(),
        };
        let next = self.folder.0.join("config.next");
        fs::write(&next, sites::config(self.site, &addresses)).ok()?;
        fs::rename(&next, self.folder.0.join("config.json")).ok()?;
        self.gateway.signal("-HUP");
        Some(())
    }
}

fn entry_of(site: Site, worker: usize, address: SocketAddr, state: &str) -> String {
    entry(&entry_id(worker), address, site.zone(worker), worker / 4, state)
}
