//! One connection to the counter, which is made again whenever it ends.

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

/// Interval of pings, well under the shortest idle time after which the counter closes a connection.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Wait before the first attempt to connect again.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Longest wait before an attempt to connect again.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Size of the buffer that one read fills.
const READ_BUFFER_BYTES: usize = 4096;

/// Where a connection stands.
enum ConnectionState {
    /// It is made when a call needs it.
    NotStarted,
    /// It is being made.
    Connecting,
    /// Calls are written to it.
    Connected(Rc<OwnedWriteHalf>),
    /// It has failed. It is made again after a backoff, unless the client is retired.
    Disconnected,
}

/// What a connection waits for, besides input.
struct PendingWork {
    /// A part of a call is still to be written.
    has_unwritten: bool,
    /// When the reply to the oldest call is overdue; `None` if there is no call.
    reply_overdue_at: Option<Instant>,
}

/// See the [module](self).
pub struct CounterConnection {
    context: Rc<ClientContext>,
    state: RefCell<ConnectionState>,
    calls: RefCell<CallQueue>,
    /// Wakes the task that writes and reads.
    wake: Notify,
}

impl CounterConnection {
    /// A connection that is not made yet.
    pub fn new(context: Rc<ClientContext>) -> Rc<Self> {
        let state = RefCell::new(ConnectionState::NotStarted);
        Rc::new(Self { context, state, calls: RefCell::default(), wake: Notify::new() })
    }

    /// Connects, and keeps connected until the client is retired.
    pub fn start(self: &Rc<Self>, events: &EventSender) {
        self.state.replace(ConnectionState::Connecting);
        spawn_local(self.clone().maintain(events.clone()));
    }

    /// Makes the task look at the calls and the client's state again.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Writes a call, at once if the connection is made and its socket has room for it.
    pub fn call(self: &Rc<Self>, call: Call, events: &EventSender) {
        self.calls.borrow_mut().push(call);
        if matches!(*self.state.borrow(), ConnectionState::NotStarted) {
            self.start(events);
        } else if self.write_calls().is_err() || self.calls.borrow().has_unwritten() {
            self.wake();
        }
    }

    /// Ends a call whose time ran out, if it is awaited here; whether it was.
    pub fn expire(&self, id: CallId, events: &EventSender) -> bool {
        let Some(end) = self.calls.borrow_mut().expire(id) else { return false };
        if self.context.is_retired() {
            self.wake();
        }
        end.post(events);
        true
    }

    /// Disconnects and ends all calls, each with the status that follows from `error` and how far it had come.
    pub fn disconnect(&self, error: &CounterError, events: &EventSender) {
        if !matches!(*self.state.borrow(), ConnectionState::NotStarted) {
            self.state.replace(ConnectionState::Disconnected);
        }
        let ends = self.calls.borrow_mut().end_all(error);
        for end in ends {
            end.post(events);
        }
    }

    /// Whether calls can be written.
    pub fn is_connected(&self) -> bool {
        matches!(*self.state.borrow(), ConnectionState::Connected(_))
    }

    /// How many calls wait to be written or answered.
    pub fn call_count(&self) -> usize {
        self.calls.borrow().len()
    }

    /// Whether the oldest call has been without a reply for longer than `limit`.
    pub fn is_overdue(&self, limit: Duration) -> bool {
        self.calls.borrow().is_overdue(limit)
    }

    /// Whether the policy awaits any call.
    pub fn has_awaited_calls(&self) -> bool {
        self.calls.borrow().has_awaited()
    }

    /// Whether the policy awaits a call that adds to this counter.
    pub fn awaits_counter(&self, counter: u64) -> bool {
        self.calls.borrow().awaits_counter(counter)
    }

    /// Whether the policy awaits this call.
    pub fn awaits_call(&self, id: CallId) -> bool {
        self.calls.borrow().awaits_call(id)
    }

    /// Writes what the socket takes, if the connection is made.
    fn write_calls(&self) -> Result<(), CounterError> {
        match &*self.state.borrow() {
            ConnectionState::Connected(writer) => self.calls.borrow_mut().write_to(writer),
            _ => Ok(()),
        }
    }

    /// Makes the connection again and again until the client is retired.
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
            // Calls made meanwhile are unwritten; they are written to the new connection, or expire.
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
        // After a stall of this process one ping is enough.
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

    /// Writes what can be written before the connection waits.
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

    /// Takes the next reply out of what was received; whether there was a complete one. After an invalid one no later
    /// reply could be matched to its call, so it is an error.
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
        let end = self.calls.borrow_mut().answer_oldest(&reply)?;
        if let Some(end) = end {
            end.post(events);
        }
        Ok(true)
    }
}
