//! A client's socket with the bytes that were read from it and not yet consumed.

use crate::node::{
    connection::{
        clients::{
            context::ConnectionContext,
            memory::{MAX_AMPLE_BUFFER_BYTES, MemoryPermit},
            state::{ConnectionEnd, ConnectionState, Stage},
        },
        socket_input::has_input,
    },
    wire::stream::MAX_PIECE_BYTES,
};
use bytes::BytesMut;
use hyper::StatusCode;
use std::io;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::TcpStream,
};

/// Announces that the client may send the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Bytes that are read at once while a connection closes.
const LINGER_READ_BYTES: usize = 4096;
/// Most reads while a connection closes: 256 KiB in all.
const MAX_LINGER_READS: usize = 64;

/// See the [module](self).
pub struct ClientSocket<'c> {
    pub context: &'c ConnectionContext,
    pub tcp: TcpStream,
    pub state: &'c ConnectionState,
    /// Bytes that were read and not yet consumed.
    pub buffer: BytesMut,
    /// Memory reserved for bytes that were read ahead into the buffer while a request was open.
    read_ahead_memory: MemoryPermit<'c>,
}

/// What a wake-up by the close signal means.
enum CloseSignal {
    /// It was meant for an earlier stage.
    Outdated,
    /// A request has begun to arrive meanwhile; it is served.
    InputPending,
    /// The connection is to close.
    Close(ConnectionEnd),
}

impl<'c> ClientSocket<'c> {
    /// A socket that has just been accepted.
    pub fn new(context: &'c ConnectionContext, tcp: TcpStream, state: &'c ConnectionState) -> Self {
        let read_ahead_memory = context.memory.empty_permit();
        Self { context, tcp, state, buffer: BytesMut::new(), read_ahead_memory }
    }

    /// Frees the buffer if it is empty, so that idle connections hold no memory.
    pub fn release_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.release_buffer();
        }
    }

    /// Frees the buffer and drops what it holds.
    pub fn release_buffer(&mut self) {
        self.buffer = BytesMut::new();
        self.read_ahead_memory = self.context.memory.empty_permit();
    }

    /// Waits for bytes of a request and reads up to about `max_bytes` into the buffer.
    ///
    /// # Errors
    /// The client is gone, or the connection was asked to close and no input is pending.
    pub async fn read(&mut self, max_bytes: usize) -> Result<(), ConnectionEnd> {
        loop {
            tokio::select! {
                ready = self.tcp.readable() => ready.map_err(|_| ConnectionEnd::Silent)?,
                () = self.state.close_signal.notified() => match self.evaluate_close_signal() {
                    CloseSignal::Outdated => continue,
                    CloseSignal::InputPending => {}
                    CloseSignal::Close(end) => return Err(end),
                },
            }
            self.buffer.reserve(max_bytes);
            match self.tcp.try_read_buf(&mut self.buffer) {
                Ok(0) => return Err(ConnectionEnd::Silent),
                Ok(count) => {
                    self.state.note_read(count);
                    return Ok(());
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(ConnectionEnd::Silent),
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
        // An evicted connection gets no last response: the capacity is needed at once.
        if self.buffer.is_empty() || self.state.is_evicted.get() {
            CloseSignal::Close(ConnectionEnd::Silent)
        } else {
            CloseSignal::Close(ConnectionEnd::WithStatus(StatusCode::REQUEST_TIMEOUT))
        }
    }

    /// Tells a client that waits for it to send the body. A client that can't be told will be seen to be gone.
    pub async fn send_continue(&mut self) {
        let _ = self.tcp.write_all(CONTINUE).await;
    }

    /// Waits until the client has disconnected. What it sends meanwhile is read ahead within a limit: the system's
    /// buffer is small, and an end behind a full one would stay unseen.
    ///
    /// Cancel safe: what was read stays in the buffer.
    pub async fn wait_for_disconnect(&mut self) {
        while self.can_read_ahead() {
            tokio::select! {
                biased;
                () = disconnected(&self.tcp) => return,
                ready = self.tcp.readable() => if ready.is_err() { return },
            }
            let needed = self.buffer.len() + MAX_PIECE_BYTES;
            if self.context.memory.extend(&mut self.read_ahead_memory, needed).is_none() {
                break;
            }
            self.buffer.reserve(MAX_PIECE_BYTES);
            match self.tcp.try_read_buf(&mut self.buffer) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        disconnected(&self.tcp).await;
    }

    fn can_read_ahead(&self) -> bool {
        self.buffer.len() + MAX_PIECE_BYTES <= MAX_AMPLE_BUFFER_BYTES
            && self.context.memory.is_ample_for(MAX_PIECE_BYTES)
    }

    /// Ends the sending side and reads for a moment, so that the last response arrives. The time limit of the stage
    /// ends the wait for a client that does not close.
    pub async fn linger(&mut self) {
        self.state.enter(Stage::Closing);
        if self.tcp.shutdown().await.is_err() {
            return;
        }
        let mut discarded = BytesMut::with_capacity(LINGER_READ_BYTES);
        for _ in 0..MAX_LINGER_READS {
            discarded.clear();
            match self.tcp.read_buf(&mut discarded).await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
    }
}

/// Waits until the client has closed or reset its connection. The system reports that apart from the input, so it is
/// seen even behind bytes that nobody has read.
async fn disconnected(socket: &TcpStream) {
    // The runtime doesn't register for urgent data, so that only the end of the input makes this interest ready.
    // A failure means that the runtime shuts down, and this task with it.
    let _ = socket.ready(Interest::PRIORITY).await;
}
