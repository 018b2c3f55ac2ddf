//! A client's socket and the buffer for received bytes.

use crate::node::{
    connection::{
        body_memory::{MAX_BUFFER_BYTES_WITH_HEADROOM, MemoryPermit},
        clients::{
            context::ConnectionContext,
            state::{CloseReason, ConnectionEnd, ConnectionState, Stage},
        },
        socket_input::has_input,
        socket_output::has_unsent_output,
    },
    wire::{
        body_arrival::{BodyArrival, MAX_UNREAD_BYTES, RECEIVE_BUFFER_BYTES},
        stream::MAX_FRAME_BYTES,
    },
};
use bytes::BytesMut;
use hyper::StatusCode;
use socket2::SockRef;
use std::{
    cell::Cell,
    future::poll_fn,
    io,
    pin::pin,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::TcpStream,
    time::sleep,
};

/// Interim response that asks the client to send the body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Bytes in the buffer of a connection for which no memory is reserved; most heads have fewer. Also the number of bytes
/// read at once where no memory is reserved.
pub const UNRESERVED_BUFFER_BYTES: usize = 4096;
/// End of a connection that the client has closed or reset.
const CLIENT_DISCONNECTED: ConnectionEnd = ConnectionEnd::WithoutResponse(CloseReason::ClientDisconnected);
/// Largest number of bytes discarded at once behind a request.
const DISCARD_READ_BYTES: usize = 16 * 1024;
/// Interval at which the connection of a process that is about to end looks for output that is still to be sent.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for which an idle connection waits for its output to be sent when the process is about to end. Slow
/// clients take what fits into the system's buffer in less.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(10);
/// Highest number of reads while a connection closes: 256 KiB in total.
const MAX_LINGER_READS: usize = 64;

/// A client's socket with a buffer for received bytes.
pub struct ClientSocket<'c> {
    pub context: &'c ConnectionContext,
    pub tcp: TcpStream,
    pub state: &'c ConnectionState,
    /// Bytes that were received and not yet consumed.
    pub buffer: BytesMut,
    /// Memory reserved for the bytes in the buffer: of a long head, or read while the gateway works on a request.
    buffer_memory: MemoryPermit,
    /// True if input behind the current request was discarded, so that the connection can't carry another request.
    pub is_input_discarded: bool,
    /// Earliest time at which the bytes of a request can have arrived that the gateway last waited for.
    pub last_awaited_at: Instant,
}

/// Reason why reading ahead has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadAhead {
    /// The client has closed or reset the connection.
    Disconnected,
    /// The buffer holds as much as it may, or input was discarded before.
    LimitReached,
    /// There is no memory to read more.
    MemoryShort,
}

/// Meaning of a wake-up by [`ConnectionState::close_signal`].
enum CloseSignal {
    /// The close request belongs to an earlier stage and is void.
    Outdated,
    /// Bytes of a request have arrived meanwhile, so the request is read and the close is dropped.
    InputPending,
    /// The connection must close.
    Close(ConnectionEnd),
}

impl<'c> ClientSocket<'c> {
    /// Wraps a newly accepted socket.
    pub fn new(context: &'c ConnectionContext, tcp: TcpStream, state: &'c ConnectionState) -> Self {
        let buffer_memory = context.memory.empty_permit();
        // A failure leaves the system's default, of which little is used before the gateway reads.
        let _ = SockRef::from(&tcp).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        let last_awaited_at = context.hold_ups.earliest_arrival(Instant::now());
        Self {
            context,
            tcp,
            state,
            buffer: BytesMut::new(),
            buffer_memory,
            is_input_discarded: false,
            last_awaited_at,
        }
    }

    /// Frees the buffer if it is empty, so that idle connections hold no memory.
    pub fn release_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.release_buffer();
        }
    }

    /// Frees the buffer and discards the bytes in it.
    pub fn release_buffer(&mut self) {
        self.buffer = BytesMut::new();
        self.buffer_memory = self.context.memory.empty_permit();
    }

    /// Reserves memory for the bytes in the buffer if they are more than every connection may hold. Returns `None` if
    /// memory is short.
    pub fn reserve_buffer(&mut self) -> Option<()> {
        if self.buffer.len() <= UNRESERVED_BUFFER_BYTES {
            return Some(());
        }
        self.buffer_memory.extend_to(self.buffer.len())
    }

    /// Waits for bytes of a request and reads up to about `max_bytes` into the buffer.
    ///
    /// # Errors
    /// Returns an error if the client has disconnected, or a close was requested and no input is pending.
    pub async fn read(&mut self, max_bytes: usize) -> Result<(), ConnectionEnd> {
        let has_waited = Cell::new(false);
        loop {
            tokio::select! {
                ready = observe_wait(self.tcp.readable(), &has_waited) => ready.map_err(|_| CLIENT_DISCONNECTED)?,
                () = self.state.close_signal.notified() => match self.evaluate_close_signal() {
                    CloseSignal::Outdated => continue,
                    CloseSignal::InputPending => {}
                    CloseSignal::Close(connection_end) => return Err(connection_end),
                },
            }
            self.buffer.reserve(max_bytes);
            match self.tcp.try_read_buf(&mut self.buffer) {
                Ok(0) => return Err(CLIENT_DISCONNECTED),
                Ok(count) => {
                    self.state.record_read(count);
                    if has_waited.get() {
                        self.last_awaited_at = self.context.hold_ups.earliest_arrival(Instant::now());
                    }
                    return Ok(());
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => has_waited.set(true),
                Err(_) => return Err(CLIENT_DISCONNECTED),
            }
        }
    }

    fn evaluate_close_signal(&self) -> CloseSignal {
        if !self.state.is_close_requested() && !self.context.is_stopping.get() {
            return CloseSignal::Outdated;
        }
        if has_input(&self.tcp) {
            self.state.is_evicted.set(false);
            return CloseSignal::InputPending;
        }
        // An evicted connection gets no last response, because its capacity is needed at once.
        if self.state.is_evicted.get() {
            CloseSignal::Close(ConnectionEnd::WithoutResponse(CloseReason::Evicted))
        } else if !self.state.has_request_begun() {
            // The close is requested again soon.
            if self.holds_last_output() && self.state.entered_at.get().elapsed() < MAX_DRAIN_TIME {
                return CloseSignal::Outdated;
            }
            CloseSignal::Close(ConnectionEnd::WithoutResponse(CloseReason::Idle))
        } else if self.state.is_request_overdue() {
            CloseSignal::Close(ConnectionEnd::WithStatus(StatusCode::REQUEST_TIMEOUT))
        } else {
            // A shutdown waits for a request that is arriving.
            CloseSignal::Outdated
        }
    }

    /// Asks a client that expects `100 Continue` to send the body. Ignores a failed write, because a later read detects
    /// the disconnect.
    pub async fn send_continue(&mut self) {
        let _ = self.tcp.write_all(CONTINUE_RESPONSE).await;
    }

    /// Waits until the client has disconnected, after it has sent its request. Meanwhile reads received bytes into the
    /// buffer, because the end of the input would go unnoticed behind them. Beyond a limit discards them: a client that
    /// sends so much behind its request does not wait for the responses, as it should. While memory is short, reads
    /// nothing.
    ///
    /// Cancel safe: the bytes that were read stay in the buffer, or the connection is marked.
    pub async fn wait_for_disconnect(&mut self) {
        match self.read_ahead(MAX_BUFFER_BYTES_WITH_HEADROOM).await {
            ReadAhead::Disconnected => {}
            ReadAhead::LimitReached => self.discard_until_disconnect().await,
            ReadAhead::MemoryShort => wait_for_peer_close(&self.tcp).await,
        }
    }

    /// Discards the buffer and all input until the client has disconnected.
    async fn discard_until_disconnect(&mut self) {
        loop {
            tokio::select! {
                biased;
                () = wait_for_peer_close(&self.tcp) => return,
                ready = self.tcp.readable() => if ready.is_err() { return },
            }
            let mut discarded = [0; DISCARD_READ_BYTES];
            match self.tcp.try_read(&mut discarded) {
                Ok(0) => return,
                Ok(_) => {
                    self.is_input_discarded = true;
                    self.release_buffer();
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Waits until the client has disconnected, while it may still be sending the body of its request. Meanwhile reads
    /// received bytes into the buffer, up to a limit. Beyond it, tells `arrival` that a close may be hidden. The limit is
    /// higher while the body waits for an attempt to begin, which must not begin after a close.
    ///
    /// Cancel safe: the bytes that were read stay in the buffer.
    pub async fn wait_for_disconnect_in_upload(&mut self, arrival: &BodyArrival) {
        let max_bytes = if arrival.is_taken() { MAX_BUFFER_BYTES_WITH_HEADROOM } else { MAX_UNREAD_BYTES };
        if self.read_ahead(max_bytes).await == ReadAhead::Disconnected {
            return;
        }
        arrival.hide_close(Instant::now());
        wait_for_peer_close(&self.tcp).await;
    }

    /// Reads received bytes into the buffer until the client has disconnected or the buffer holds `max_bytes`, or memory
    /// is short.
    async fn read_ahead(&mut self, max_bytes: usize) -> ReadAhead {
        while !self.is_input_discarded && self.buffer.len() + MAX_FRAME_BYTES <= max_bytes {
            if !self.context.memory.has_headroom_for(MAX_FRAME_BYTES) {
                return ReadAhead::MemoryShort;
            }
            tokio::select! {
                biased;
                () = wait_for_peer_close(&self.tcp) => return ReadAhead::Disconnected,
                ready = self.tcp.readable() => if ready.is_err() { return ReadAhead::Disconnected },
            }
            let needed = self.buffer.len() + MAX_FRAME_BYTES;
            if self.buffer_memory.extend_to(needed).is_none() {
                return ReadAhead::MemoryShort;
            }
            self.buffer.reserve(MAX_FRAME_BYTES);
            match self.tcp.try_read_buf(&mut self.buffer) {
                Ok(0) => return ReadAhead::Disconnected,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.release_empty_buffer(),
                Err(_) => return ReadAhead::Disconnected,
            }
        }
        ReadAhead::LimitReached
    }

    /// Returns whether the process is about to end while its system still sends output to the client.
    fn holds_last_output(&self) -> bool {
        self.context.is_stopping.get() && has_unsent_output(&self.tcp)
    }

    /// Waits until the system has sent all output, if the process is about to end. What its system still sends may be lost
    /// with the machine. The time limit of [`Stage::WritingResponse`] bounds the wait.
    pub async fn drain_output(&self) {
        self.state.enter(Stage::WritingResponse);
        while self.holds_last_output() {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Shuts down the sending side. Ignores a failure, because a later read detects the disconnect.
    pub async fn shut_down_sending(&mut self) {
        let _ = self.tcp.shutdown().await;
    }

    /// Shuts down the sending side and discards input until the client closes, so that the last response arrives. The
    /// number of reads and the time limit of [`Stage::Closing`] bound the wait.
    pub async fn linger(&mut self) {
        self.state.enter(Stage::Closing);
        if self.tcp.shutdown().await.is_err() {
            return;
        }
        let mut discarded = BytesMut::with_capacity(UNRESERVED_BUFFER_BYTES);
        for _ in 0..MAX_LINGER_READS {
            discarded.clear();
            match self.tcp.read_buf(&mut discarded).await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
    }
}

/// Awaits a future, and sets `has_waited` if it is not ready at once.
async fn observe_wait<T>(future: impl Future<Output = T>, has_waited: &Cell<bool>) -> T {
    let mut future = pin!(future);
    poll_fn(|cx| {
        let poll = future.as_mut().poll(cx);
        if poll.is_pending() {
            has_waited.set(true);
        }
        poll
    })
    .await
}

/// Waits until the client has closed or reset the connection. The system reports this separately from input, so it is
/// detected even while unread bytes are pending.
async fn wait_for_peer_close(socket: &TcpStream) {
    // The runtime doesn't register for urgent data, so only the end of the input makes this interest ready. An error
    // means that the runtime is shutting down, and this task with it.
    let _ = socket.ready(Interest::PRIORITY).await;
}
