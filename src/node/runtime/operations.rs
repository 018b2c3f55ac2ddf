//! What operators and other processes of this gateway ask for.

use crate::node::{
    connection::{operators::LeaveOutError, siblings::SiblingHandler},
    left_out_file::LeftOutFile,
    runtime::driver::Driver,
};
use oliverack::{Event, Memory, ServerId};
use std::rc::Rc;
use tracing::{info, warn};

impl Driver {
    /// Takes over the workers left out that the last process has kept.
    pub fn recall_left_out(self: &Rc<Self>) {
        match self.left_out_file.as_ref().map_or(Ok(Vec::new()), LeftOutFile::load) {
            Ok(out) => out.into_iter().for_each(|server| self.post(Event::ByHand { server, out: true })),
            Err(error) => warn!(reason = %error, "workers left out by hand are not known"),
        }
    }

    /// The metrics for operators, as they stand.
    pub fn render_metrics(&self) -> String {
        let targets = self.gateway.borrow().targets(self.clock.now());
        self.metrics.render(&self.config.options.classes, targets)
    }

    /// Leaves a worker out by hand, or puts it back. Kept before this returns, as a yes must hold over an upgrade.
    ///
    /// # Errors
    /// No worker has this id, or it holds in this process alone.
    pub fn leave_out_and_keep(self: &Rc<Self>, id: &str, out: bool) -> Result<(), LeaveOutError> {
        let server: ServerId = id.into();
        if !self.gateway.borrow().knows(&server) {
            return Err(LeaveOutError::UnknownWorker);
        }
        self.siblings.tell(&server, out);
        self.leave_out(&server, out);
        let gateway = self.gateway.borrow();
        let stored = self.left_out_file.as_ref().map_or(Ok(()), |file| file.store(gateway.left_out()));
        stored.map_err(LeaveOutError::NotKept)
    }

    /// Operators have told this process, or one beside it.
    fn leave_out(self: &Rc<Self>, server: &ServerId, out: bool) {
        if out {
            info!(worker = %server, "worker left out by hand");
        } else {
            info!(worker = %server, "worker put back by hand");
        }
        self.workers.left_out(server);
        self.post(Event::ByHand { server: server.clone(), out });
    }
}

impl SiblingHandler for Rc<Driver> {
    fn inherit(&self, memory: Memory) {
        self.post(Event::Inherit(memory));
    }

    fn memory(&self) -> Memory {
        self.gateway.borrow().memory()
    }

    fn leave_out(&self, server: &ServerId, out: bool) {
        Driver::leave_out(self, server, out);
    }

    fn processes_changed(&self) {
        let (place, of) = (self.processes.place(), self.processes.count());
        info!(place, processes = of, "processes at work for this gateway");
        self.workers.share(of as usize);
        self.post(Event::Sharing { place, of });
    }
}
