//! Records how much of a request has been written to a connection and how much of its response has arrived, by observing
//! the bytes that go through the socket.
//!
//! The progress tells whether an attempt may have run, because an endpoint starts to work on a request only after it
//! has received the last byte.

use oliverack::{ArrivalPace, ResponseProgress, StreamProgress};
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
    /// Time at which the first of them were read, from which `body_pace` counts; `None` before.
    body_started_at: Cell<Option<Instant>>,
    /// Pace at which these bytes arrived.
    body_pace: Cell<ArrivalPace>,
    /// Time since which the body's next data is awaited; `None` while it is not.
    data_awaited_since: Cell<Option<Instant>>,
    /// Time since which the client is awaited to take data; `None` while it is not.
    client_awaited_since: Cell<Option<Instant>>,
    /// Time of the earlier waits for the client.
    client_wait: Cell<Duration>,
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
        self.body_started_at.set(None);
        self.body_pace.set(ArrivalPace::default());
        self.data_awaited_since.set(None);
        self.client_awaited_since.set(None);
        self.client_wait.set(Duration::ZERO);
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

    /// Records that the next data of the final response's body is awaited.
    pub fn await_body(&self) {
        self.data_awaited_since.set(Some(Instant::now()));
    }

    /// Records that the client is awaited to take data of the body.
    pub fn await_client(&self) {
        self.client_awaited_since.set(Some(Instant::now()));
    }

    /// Records that the client has taken the data for which it was awaited.
    pub fn end_client_wait(&self) {
        self.client_wait.set(self.client_wait_until(Instant::now()));
        self.client_awaited_since.set(None);
    }

    fn client_wait_until(&self, now: Instant) -> Duration {
        let awaited_since = self.client_awaited_since.get().unwrap_or(now);
        self.client_wait.get() + now.saturating_duration_since(awaited_since)
    }

    /// Records data of the final response's body, for which the wait is over.
    pub fn record_body(&self, bytes: usize) {
        let now = Instant::now();
        if self.body_started_at.get().is_none() {
            self.body_started_at.set(Some(now));
        }
        let mut pace = self.body_pace.get();
        pace.record(self.body_age(now), bytes);
        self.body_pace.set(pace);
        self.body_bytes.set(self.body_bytes.get() + bytes);
        self.data_awaited_since.set(None);
    }

    /// Returns the time since the first data of the body, in seconds.
    fn body_age(&self, now: Instant) -> f64 {
        let started_at = self.body_started_at.get().unwrap_or(now);
        now.saturating_duration_since(started_at).as_secs_f64()
    }

    /// Returns how far a response has come that is forwarded as it arrives, and whose body has this length.
    fn stream_progress(&self, length: Option<u64>) -> StreamProgress {
        let now = Instant::now();
        let silence = self.data_awaited_since.get().map(|awaited_since| {
            let silent_since = self.last_received_at.get().map_or(awaited_since, |at| at.max(awaited_since));
            now.saturating_duration_since(silent_since).as_secs_f64()
        });
        StreamProgress {
            length,
            received_bytes: self.body_bytes.get() as u64,
            pace: self.body_pace.get().at(self.body_age(now)),
            silence,
            client_wait: self.client_wait_until(now).as_secs_f64(),
        }
    }

    /// Returns how far an exchange has come of which the client has been sent nothing.
    fn response_progress(&self) -> ResponseProgress {
        if self.has_response_started() {
            ResponseProgress::Arriving
        } else if !self.is_unwritten() && !self.is_completely_written() {
            ResponseProgress::SendingRequest
        } else {
            ResponseProgress::Awaited
        }
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

    /// Returns how far an attempt has come of which the client has been sent nothing.
    pub fn response_progress(&self) -> ResponseProgress {
        self.0.borrow().as_ref().map_or(ResponseProgress::Awaited, |progress| progress.response_progress())
    }

    /// Returns how far a response has come that is forwarded as it arrives, and whose body has this length.
    pub fn stream_progress(&self, length: Option<u64>) -> ResponseProgress {
        self.0.borrow().as_ref().map_or(ResponseProgress::Awaited, |progress| {
            ResponseProgress::Streaming(progress.stream_progress(length))
        })
    }

    /// Returns whether bytes of the final response have arrived.
    pub fn has_response_started(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|progress| progress.has_response_started())
    }
}
