//! A gateway with stand-ins for all that it talks to.

use crate::{
    gateway::{Folder, Gateway, free_address},
    record::Record,
    sites::{self, Addresses, Site},
    stand_ins::{Discovery, WorkerCall, entry, start_counter, start_worker},
};
use std::{net::SocketAddr, sync::Arc};

/// The processes and stand-ins of a run. Fields are dropped in this order: the gateway ends before its folder is removed.
pub struct Deployment {
    pub gateway: Gateway,
    _folder: Folder,
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
        let answer = Arc::new(answer);
        let workers: Vec<SocketAddr> = (0..worker_count)
            .map(|worker| {
                let answer = answer.clone();
                start_worker(worker, record.clone(), move |call| answer(call))
            })
            .collect();
        let entries: Vec<String> = workers
            .iter()
            .enumerate()
            .map(|(worker, address)| {
                entry(&format!("s-{worker:08x}"), *address, site.zone(worker), worker / 4, "SERVING")
            })
            .collect();
        let discovery = Discovery::start(&entries);
        let folder = Folder::new();
        let listen = free_address();
        let known = discovery.whole();
        let addresses =
            Addresses { listen, discovery: discovery.address, counter: start_counter(), known: &known };
        let gateway = Gateway::start(&folder.0, listen, &sites::config(site, &addresses))?;
        record.line("the gateway is ready");
        Some(Self { gateway, _folder: folder })
    }
}
