//! Connection to the counter that reconnects after a failure.

use crate::node::connection::{
    counter::{
        call::{Call, CallId},
        call_queue::CallQueue,
        client_context::ClientContext,
        error::CounterError,
        protocol::{self, MAX_REPLY_BYTES},
    },
    events::EventSender,
};
use bytes::BytesMut;
use std::{
    cell::RefCell,
    convert::Infallible,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    io::AsyncReadExt,
    net::{TcpStream, tcp::OwnedWriteHalf},
    sync::Notify,
    task::spawn_local,
    time::{MissedTickBehavior, interval, sleep, sleep_until, timeout},
};

/// Interval of pings. Must be well under the shortest idle time after which the counter closes a connection.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Backoff before the first reconnect after a failure.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Longest backoff before a reconnect.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Size of the buffer for one read.
const READ_BUFFER_BYTES: usize = 4096;

/// State of a connection.
enum ConnectionState {
    /// The connection was not started yet. The client starts it in advance, or the first call does.
    NotStarted,
    /// The connection is being opened.
    Connecting,
    /// The connection is open; calls are written to this half of the socket.
    Connected(Rc<OwnedWriteHalf>),
    /// The connection has ended. It is opened again after a backoff, unless the client is retired.
    Disconnected,
}

/// Conditions, besides input, that an open connection waits for.
struct PendingWork {
    /// True if a part of a call is still to be written.
    has_unwritten: bool,
    /// Time at which the reply to the oldest call is overdue; `None` if there is no call.
    reply_overdue_at: Option<Instant>,
}

/// Connection to the counter with the calls that are pending on it.
pub struct CounterConnection {
    context: Rc<ClientContext>,
    state: RefCell<ConnectionState>,
    calls: RefCell<CallQueue>,
    /// Wakes the task that writes calls and reads replies.
    wake: Notify,
}

impl CounterConnection {
    /// Returns a connection that is not open yet.
    pub fn new(context: Rc<ClientContext>) -> Rc<Self> {
        let state = RefCell::new(ConnectionState::NotStarted);
        Rc::new(Self { context, state, calls: RefCell::default(), wake: Notify::new() })
    }

    /// Spawns the task that opens the connection, and reopens it until the client is retired.
    pub fn start(self: &Rc<Self>, events: &EventSender) {
        self.state.replace(ConnectionState::Connecting);
        spawn_local(self.clone().maintain(events.clone()));
    }

    /// Makes the connection's task check the calls and the client's state again.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Queues a call, and writes it immediately if the connection is open and its socket accepts it. Starts the
    /// connection if it was not started yet.
    pub fn send(self: &Rc<Self>, call: Call, events: &EventSender) {
        self.calls.borrow_mut().push(call);
        if matches!(*self.state.borrow(), ConnectionState::NotStarted) {
            self.start(events);
        } else if self.write_calls().is_err() || self.calls.borrow().has_unwritten() {
            self.wake();
        }
    }

    /// Ends a call that has reached the call timeout. Returns false if it is not awaited on this connection.
    pub fn expire(&self, id: CallId, events: &EventSender) -> bool {
        let Some(result) = self.calls.borrow_mut().expire(id) else { return false };
        if self.context.is_retired() {
            self.wake();
        }
        result.post(events);
        true
    }

    /// Disconnects and ends all calls, each with the status that follows from `error` and the call's progress.
    pub fn disconnect(&self, error: &CounterError, events: &EventSender) {
        if !matches!(*self.state.borrow(), ConnectionState::NotStarted) {
            self.state.replace(ConnectionState::Disconnected);
        }
        let results = self.calls.borrow_mut().end_all(error);
        for result in results {
            result.post(events);
        }
    }

    /// Returns whether the connection is open.
    pub fn is_connected(&self) -> bool {
        matches!(*self.state.borrow(), ConnectionState::Connected(_))
    }

    /// Returns the number of calls that are still to be written or have no reply.
    pub fn call_count(&self) -> usize {
        self.calls.borrow().len()
    }

    /// Returns whether the oldest call has been without a reply for longer than `limit`.
    pub fn is_overdue(&self, limit: Duration) -> bool {
        self.calls.borrow().is_overdue(limit)
    }

    /// Returns whether the policy awaits the reply to any call.
    pub fn has_awaited_calls(&self) -> bool {
        self.calls.borrow().has_awaited()
    }

    /// Returns whether the policy awaits the reply to a call that adds to this counter.
    pub fn awaits_counter(&self, counter: u64) -> bool {
        self.calls.borrow().awaits_counter(counter)
    }

    /// Returns whether the policy awaits the reply to this call.
    pub fn awaits_call(&self, id: CallId) -> bool {
        self.calls.borrow().awaits_call(id)
    }

    /// Writes as much of the calls as the socket accepts, if the connection is open.
    fn write_calls(&self) -> Result<(), CounterError> {
        match &*self.state.borrow() {
            ConnectionState::Connected(writer) => self.calls.borrow_mut().write_to(writer),
            _ => Ok(()),
        }
    }

    /// Opens the connection, and reopens it after each failure, until the client is retired.
    async fn maintain(self: Rc<Self>, events: EventSender) {
        let mut backoff = MIN_BACKOFF;
        loop {
            let Err(error) = self.connect_and_serve(&events, &mut backoff).await;
            self.disconnect(&error, &events);
            if self.context.is_retired() {
                return;
            }
            self.context.warn(&error);
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
            // Calls queued during the backoff are unwritten: they are written to the new connection, or expire.
            self.state.replace(ConnectionState::Connecting);
        }
    }

    async fn connect_and_serve(
        &self,
        events: &EventSender,
        backoff: &mut Duration,
    ) -> Result<Infallible, CounterError> {
        let connect_timeout = self.context.connect_timeout();
        let connecting = TcpStream::connect(self.context.address);
        let socket =
            timeout(connect_timeout, connecting).await.map_err(|_| CounterError::ConnectTimeout)??;
        socket.set_nodelay(true)?;
        self.serve(socket, events, backoff).await
    }

    /// Writes calls and reads replies until the connection ends. Each reply resets the backoff.
    async fn serve(
        &self,
        socket: TcpStream,
        events: &EventSender,
        backoff: &mut Duration,
    ) -> Result<Infallible, CounterError> {
        let (mut reader, writer) = socket.into_split();
        let writer = Rc::new(writer);
        self.state.replace(ConnectionState::Connected(writer.clone()));
        let mut received = BytesMut::new();
        let mut buffer = [0; READ_BUFFER_BYTES];
        let mut ping_timer = interval(PING_INTERVAL);
        // One ping is enough after a stall of this process, however many intervals have passed.
        ping_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let pending = self.prepare_to_wait()?;
            let wait_until = pending.reply_overdue_at.unwrap_or_else(Instant::now);
            let length = tokio::select! {
                length = reader.read(&mut buffer) => length?,
                ready = writer.writable(), if pending.has_unwritten => {
                    ready?;
                    continue;
                }
                () = self.wake.notified() => continue,
                () = sleep_until(wait_until.into()), if pending.reply_overdue_at.is_some() => continue,
                _ = ping_timer.tick() => {
                    self.calls.borrow_mut().push(Call::ping());
                    continue;
                }
            };
            if length == 0 {
                return Err(CounterError::Closed);
            }
            received.extend_from_slice(&buffer[..length]);
            while self.take_reply(&mut received, events)? {
                *backoff = MIN_BACKOFF;
            }
        }
    }

    /// Writes what can be written before the connection waits. Returns the conditions to wait for.
    fn prepare_to_wait(&self) -> Result<PendingWork, CounterError> {
        let reply_timeout = self.context.reply_timeout();
        if self.is_overdue(reply_timeout) {
            return Err(CounterError::ReplyOverdue);
        }
        self.write_calls()?;
        if self.context.is_retired() && !self.has_awaited_calls() {
            return Err(CounterError::Retired);
        }
        let calls = self.calls.borrow();
        Ok(PendingWork {
            has_unwritten: calls.has_unwritten(),
            reply_overdue_at: calls.overdue_at(reply_timeout),
        })
    }

    /// Takes the next reply out of the received bytes and ends the call that it answers. Returns false if no reply is
    /// complete. An invalid reply is an error, because later replies could not be matched to their calls.
    fn take_reply(&self, received: &mut BytesMut, events: &EventSender) -> Result<bool, CounterError> {
        let Some(length) = received.iter().position(|byte| *byte == b'\n') else {
            return if received.len() > MAX_REPLY_BYTES {
                Err(CounterError::ReplyTooLong)
            } else {
                Ok(false)
            };
        };
        let line = received.split_to(length + 1);
        let reply = protocol::parse(&line[..length]).ok_or(CounterError::UnexpectedReply)?;
        let result = self.calls.borrow_mut().answer_oldest(&reply)?;
        if let Some(result) = result {
            result.post(events);
        }
        Ok(true)
    }
}
