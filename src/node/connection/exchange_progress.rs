//! Records how much of a request has been written to a connection and how much of its response has arrived, by observing
//! the bytes that go through the socket.
//!
//! The progress tells whether an attempt may have run, because an endpoint starts to work on a request only after it
//! has received the last byte.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

/// Progress of the current request on a connection.
#[derive(Debug, Default)]
pub struct ExchangeProgress {
    /// Length of the request's body; `None` if it is not known in advance.
    body_length: Cell<Option<usize>>,
    /// Flag that a streamed body sets after handing over its last byte; `None` if the body is buffered.
    is_body_finished: RefCell<Option<Rc<Cell<bool>>>>,
    written_bytes: Cell<usize>,
    /// Length of head and body, known after the first write, which begins with the complete head. Always `None` if
    /// the body's length is not known in advance.
    request_length: Cell<Option<usize>>,
    /// Bytes of the final response that have arrived.
    received_bytes: Cell<usize>,
    /// Time at which bytes of the final response last arrived; `None` before the first ones.
    last_received_at: Cell<Option<Instant>>,
    /// True once the head of the final response has arrived completely.
    has_head: Cell<bool>,
    /// Bytes of the final response's body that were read.
    body_bytes: Cell<usize>,
    /// Count to be incremented once the next request is written completely.
    sent_requests: RefCell<Option<Rc<Cell<u64>>>>,
}

impl ExchangeProgress {
    /// Resets the progress for a new request. `is_body_finished` is the flag of a streamed body.
    pub fn start_request(&self, body_length: Option<usize>, is_body_finished: Option<Rc<Cell<bool>>>) {
        self.body_length.set(body_length);
        self.is_body_finished.replace(is_body_finished);
        self.written_bytes.set(0);
        self.request_length.set(None);
        self.received_bytes.set(0);
        self.last_received_at.set(None);
        self.has_head.set(false);
        self.body_bytes.set(0);
    }

    /// Counts the next request in `sent_requests` once it is written completely.
    pub fn count_request_in(&self, sent_requests: &Rc<Cell<u64>>) {
        self.sent_requests.replace(Some(sent_requests.clone()));
    }

    /// Returns whether no byte of the request was written.
    pub fn is_unwritten(&self) -> bool {
        self.written_bytes.get() == 0
    }

    /// Returns whether the last byte of the request was written, so that the endpoint may have started to work on it.
    pub fn is_completely_written(&self) -> bool {
        match self.request_length.get() {
            Some(length) => self.written_bytes.get() >= length,
            // The final chunk is written immediately after the last byte of a chunked body.
            None => self.is_body_finished.borrow().as_ref().is_some_and(|is_finished| is_finished.get()),
        }
    }

    /// Returns whether bytes of the final response have arrived.
    pub fn has_response_started(&self) -> bool {
        self.received_bytes.get() > 0
    }

    fn is_in_transit(&self) -> bool {
        let is_partly_written = !self.is_unwritten() && !self.is_completely_written();
        is_partly_written || self.has_response_started()
    }

    /// Returns the number of bytes of the final response that have arrived.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes.get()
    }

    pub(super) fn record_written(&self, bytes: usize) {
        self.written_bytes.set(self.written_bytes.get() + bytes);
        if self.is_completely_written() {
            if let Some(sent_requests) = self.sent_requests.take() {
                sent_requests.set(sent_requests.get() + 1);
            }
        }
    }

    /// Records bytes that were read. An interim response (1xx) doesn't count as the final one.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        if self.has_response_started() || !bytes.starts_with(b"HTTP/1.1 1") {
            self.received_bytes.set(self.received_bytes.get() + bytes.len());
            self.last_received_at.set(Some(Instant::now()));
        }
    }

    /// Records that the head of the final response has arrived completely.
    pub fn record_head(&self) {
        self.has_head.set(true);
    }

    /// Returns whether the head of the final response has arrived completely.
    pub fn has_head(&self) -> bool {
        self.has_head.get()
    }

    /// Records data of the final response's body.
    pub fn record_body(&self, bytes: usize) {
        self.body_bytes.set(self.body_bytes.get() + bytes);
    }

    /// Returns how far the exchange has come.
    fn state(&self) -> AttemptProgress {
        if self.body_bytes.get() > 0 {
            AttemptProgress::ReceivingBody
        } else if self.has_head() {
            AttemptProgress::AwaitingBody
        } else if self.has_response_started() {
            AttemptProgress::ReceivingHead
        } else if self.is_completely_written() {
            AttemptProgress::AwaitingResponse
        } else {
            AttemptProgress::Sending
        }
    }

    /// Computes the request's length from the bytes offered to its first write. Later writes change nothing.
    pub(super) fn record_first_write(&self, bytes: &[u8]) {
        if self.request_length.get().is_some() {
            return;
        }
        if let Some(body_length) = self.body_length.get() {
            let empty_line = bytes.windows(4).position(|window| window == b"\r\n\r\n");
            let head_length = empty_line.map_or(bytes.len(), |position| position + 4);
            self.request_length.set(Some(head_length + body_length));
        }
    }
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptProgress {
    /// It waits for a connection, or the request is not written completely.
    Sending,
    /// The request is written completely.
    AwaitingResponse,
    /// Bytes of the response's head have arrived.
    ReceivingHead,
    /// The response's head has arrived completely, and no data of the body.
    AwaitingBody,
    /// Data of the response's body has arrived.
    ReceivingBody,
}

/// Handle by which others, such as the attempt's timeout, read a request's progress. Empty until the request has a
/// connection.
#[derive(Debug, Clone, Default)]
pub struct ProgressHandle(Rc<RefCell<Option<Rc<ExchangeProgress>>>>);

impl ProgressHandle {
    /// Sets the connection's progress that this handle shows from now on.
    pub fn attach(&self, progress: Rc<ExchangeProgress>) {
        self.0.replace(Some(progress));
    }

    /// Returns whether the request was written completely, so that the endpoint may have started to work on it.
    pub fn may_have_run(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|progress| progress.is_completely_written())
    }

    /// Returns how far the attempt has come.
    pub fn state(&self) -> AttemptProgress {
        self.0.borrow().as_ref().map_or(AttemptProgress::Sending, |progress| progress.state())
    }

    /// Returns the number of bytes of the final response that have arrived, and the time since the last of them; `None`
    /// before the first.
    pub fn received(&self) -> Option<(usize, Duration)> {
        let progress = self.0.borrow();
        let progress = progress.as_ref()?;
        Some((progress.received_bytes(), progress.last_received_at.get()?.elapsed()))
    }

    /// Returns whether the request is partly written, or the response has begun to arrive.
    pub fn is_in_transit(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|progress| progress.is_in_transit())
    }

    /// Returns whether bytes of the final response have arrived.
    pub fn has_response_started(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|progress| progress.has_response_started())
    }
}
