//! Reads requests from a client's connection.

use crate::node::{
    connection::{
        clients::{
            context::Context,
            memory::MemoryPermit,
            state::{Closing, ConnectionState, Stage},
        },
        socket_input::has_input,
    },
    wire::{
        limits::MAX_BUFFERED_BODY_BYTES,
        request_body::BodyDecoder,
        request_head::{self, Head},
        stream::{self, STREAM_MEMORY_BYTES},
    },
};
use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use std::io;
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Bytes of a head that are read at once.
const HEAD_READ: usize = 4096;
/// Says that a body may come.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Most bytes of a body that are gathered whole while half of the memory for bodies is left: a slow client takes
/// seconds to send them, and meanwhile holds neither an endpoint nor a slot under a cap.
pub const MAX_GATHERED: usize = 8 * MAX_BUFFERED_BODY_BYTES;

/// A body as far as it was read.
pub enum ReceivedBody {
    /// All of it.
    Whole(Bytes),
    /// It passes through in pieces; `length` is the whole body's, where it is known.
    Large {
        /// What has been read of it.
        first: BytesMut,
        /// What is still to come.
        rest: BodyDecoder,
        /// In bytes.
        length: Option<usize>,
    },
}

impl ReceivedBody {
    /// What is still to come of it.
    pub fn rest(self) -> Option<BodyDecoder> {
        if let Self::Large { rest, .. } = self { Some(rest) } else { None }
    }
}

impl Context {
    pub(super) async fn read_head(
        &self,
        socket: &mut TcpStream,
        buffer: &mut BytesMut,
        state: &ConnectionState,
    ) -> Result<Head, Closing> {
        let mut seen = 0;
        loop {
            if !buffer.is_empty() {
                if state.stage.get() == Stage::Idle {
                    state.enter(Stage::Reading);
                }
                if let Some(head) = request_head::take(buffer, &mut seen)? {
                    return Ok(head);
                }
            }
            self.read(socket, buffer, state, HEAD_READ).await?;
        }
    }

    /// Reads a body whole, or as much as shows that it is too large for that.
    pub(super) async fn read_body(
        &self,
        socket: &mut TcpStream,
        buffer: &mut BytesMut,
        state: &ConnectionState,
        head: &Head,
    ) -> Result<(ReceivedBody, MemoryPermit<'_>), Closing> {
        let length = head.framing.length();
        let mut most = MAX_BUFFERED_BODY_BYTES;
        let large = length
            .is_some_and(|l| l > MAX_GATHERED || l > MAX_BUFFERED_BODY_BYTES && !self.memory.is_plenty(l));
        let none = Closing::With(StatusCode::SERVICE_UNAVAILABLE);
        // It is taken as bytes come: what is only announced may never come.
        let mut permit = self.memory.take(if large { STREAM_MEMORY_BYTES } else { 0 }).ok_or(none)?;
        let (mut body, mut whole) = (BodyDecoder::new(head.framing), BytesMut::new());
        if large {
            return Ok((ReceivedBody::Large { first: whole, rest: body, length }, permit));
        }
        if head.expects_continue && length != Some(0) && buffer.is_empty() {
            let _ = socket.write_all(CONTINUE).await;
        }
        loop {
            let wanted = length.unwrap_or(most + 1);
            if body.decode(buffer, &mut whole, wanted)? {
                return Ok((ReceivedBody::Whole(whole.freeze()), permit));
            }
            let held = whole.len().next_multiple_of(stream::MAX_PIECE_BYTES);
            if held > permit.bytes() {
                let more = self
                    .memory
                    .take(held - permit.bytes())
                    .ok_or(Closing::With(StatusCode::SERVICE_UNAVAILABLE))?;
                permit.join(more);
            }
            if length.is_none()
                && whole.len() > most
                && most < MAX_GATHERED
                && self.memory.is_plenty(MAX_BUFFERED_BODY_BYTES)
            {
                most += MAX_BUFFERED_BODY_BYTES;
                // What has been read and did not fit comes first.
                continue;
            }
            if length.is_none() && whole.len() > most {
                return Ok((ReceivedBody::Large { first: whole, rest: body, length }, permit));
            }
            let piece =
                if length.is_some_and(|l| l <= HEAD_READ) { HEAD_READ } else { stream::MAX_PIECE_BYTES };
            self.read(socket, buffer, state, piece).await?;
        }
    }

    /// Reads what there is, unless the connection is to close.
    pub(super) async fn read(
        &self,
        socket: &mut TcpStream,
        buffer: &mut BytesMut,
        state: &ConnectionState,
        most: usize,
    ) -> Result<(), Closing> {
        loop {
            tokio::select! {
                ready = socket.readable() => ready.map_err(|_| Closing::Quietly)?,
                () = state.close.notified() => {
                    // A word that was for an earlier request says nothing of this one.
                    if state.close_requested.get() != Some(state.since.get()) && !self.is_stopping.get() {
                        continue;
                    }
                    let idle = buffer.is_empty();
                    // A request that has come meanwhile is served, not cut off. In a crowd there is no room for a
                    // last word.
                    if !has_input(socket) {
                        let quiet = idle || state.makes_room.get();
                        return Err(if quiet { Closing::Quietly } else { Closing::With(StatusCode::REQUEST_TIMEOUT) });
                    }
                    state.makes_room.set(false);
                }
            }
            buffer.reserve(most);
            match socket.try_read_buf(buffer) {
                Ok(0) => return Err(Closing::Quietly),
                Ok(n) => {
                    state.note_read(n);
                    return Ok(());
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(Closing::Quietly),
            }
        }
    }
}
