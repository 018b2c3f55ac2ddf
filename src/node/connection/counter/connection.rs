//! One connection to the counter, and the calls that wait for their answers on it, in order.

use std::{
    collections::VecDeque,
    io::ErrorKind,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{net::tcp::OwnedWriteHalf, sync::Notify};

/// A call that was made on a line.
pub struct Call {
    /// The count's name; `None` for a ping.
    pub name: Option<u64>,
    /// Its own.
    pub number: u64,
    /// When it was made.
    pub since: Instant,
    /// What is written of it.
    pub text: Vec<u8>,
    /// How many bytes of that have been.
    pub written: usize,
    /// Its end has been told of; an answer is passed over.
    pub reported: bool,
}

/// See the [module](self).
#[derive(Default)]
pub struct Line {
    /// `None` while the connection is not up.
    pub socket: Option<Rc<OwnedWriteHalf>>,
    /// The one that has waited longest first.
    pub calls: VecDeque<Call>,
    /// It has been asked to connect.
    pub started: bool,
    /// Wakes the task that writes and reads.
    pub wake: Rc<Notify>,
}

impl Line {
    /// Whether it has owed an answer for longer than `limit`.
    pub fn overdue(&self, limit: Duration) -> bool {
        self.calls.front().is_some_and(|c| c.since.elapsed() > limit)
    }

    /// When it will have owed an answer for `limit`.
    pub fn overdue_at(&self, limit: Duration) -> Option<Instant> {
        self.calls.front().map(|c| c.since + limit)
    }

    /// Writes what the socket takes; `false`: the connection is broken.
    pub fn flush(&mut self) -> bool {
        let Some(socket) = &self.socket else { return true };
        for call in self.calls.iter_mut().filter(|c| c.written < c.text.len()) {
            while call.written < call.text.len() {
                match socket.try_write(&call.text[call.written..]) {
                    Ok(n) => call.written += n,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return false,
                }
            }
        }
        true
    }

    /// Something of a call is still to be written.
    pub fn unwritten(&self) -> bool {
        self.calls.back().is_some_and(|c| c.written < c.text.len())
    }
}
