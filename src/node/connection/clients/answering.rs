//! Writes a final answer to a client's connection.

use crate::node::{
    connection::clients::{exchange::Exchange, state::Stage},
    metrics,
    wire::{
        client_response::{self, ClientResponse, ResponseBody},
        stream::{self, Piece, Pieces, STREAM_MEMORY_BYTES},
    },
};
use bytes::BytesMut;
use hyper::StatusCode;
use socket2::SockRef;
use std::{
    io::{self, Write},
    time::Duration,
};
use tokio::io::AsyncWriteExt;

/// Pause while memory is short.
const PAUSE: Duration = Duration::from_millis(20);
/// Bytes of an answer in pieces that the system may hold for a slow client, which are memory, too.
const SEND_BUFFER: usize = 128 * 1024;

/// How much of an answer has been passed on.
enum PassedOn {
    Whole,
    Cut,
    Nothing,
}

impl Exchange<'_, '_> {
    /// Writes the answer; how the request ended for the client, `None` where that has gone.
    pub async fn respond(
        &mut self,
        response: ClientResponse,
        keep: bool,
        minor: u8,
    ) -> Option<metrics::Outcome> {
        let end = response.outcome();
        self.state.enter(Stage::Writing);
        let head = client_response::render(&response, keep, minor);
        match response.body {
            ResponseBody::Whole(_) => self.socket.write_all(&head).await.ok().map(|()| end),
            ResponseBody::Pieces { length, pieces } => {
                match self.forward_answer(head, length.is_none() && minor > 0, pieces).await.ok()? {
                    PassedOn::Whole => return Some(end),
                    PassedOn::Nothing => {
                        let failed = ClientResponse::plain(StatusCode::BAD_GATEWAY);
                        self.socket.write_all(&client_response::render(&failed, keep, minor)).await.ok()?;
                        return Some(failed.outcome());
                    }
                    PassedOn::Cut => {}
                }
                // Reset, so that also a client which tells the end by the close sees that this is none.
                let _ = SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
                self.cut = true;
                Some(metrics::Outcome::Failed)
            }
        }
    }

    /// Passes an answer on as it comes. Its head goes with its first bytes, so that a client can still be told of a
    /// break before these.
    async fn forward_answer(
        &mut self,
        head: Vec<u8>,
        chunked: bool,
        mut pieces: Pieces,
    ) -> io::Result<PassedOn> {
        // The bound on memory holds for answers, too: what finds no room waits at its endpoint.
        let _permit = loop {
            match self.context.memory.take(STREAM_MEMORY_BYTES.saturating_sub(self.permit.bytes())) {
                Some(permit) => break permit,
                None => tokio::time::sleep(PAUSE).await,
            }
        };
        // Where it can't be set the default holds, which is larger.
        let _ = SockRef::from(&*self.socket).set_send_buffer_size(SEND_BUFFER);
        let (mut text, mut begun) = (head, false);
        loop {
            self.state.enter(Stage::Busy);
            let piece = pieces.recv().await;
            self.state.enter(Stage::Passing);
            match piece {
                None => return Ok(if begun { PassedOn::Cut } else { PassedOn::Nothing }),
                Some(Piece::End) => {
                    if chunked {
                        text.extend_from_slice(b"0\r\n\r\n");
                    }
                    self.write(&text).await?;
                    return Ok(PassedOn::Whole);
                }
                Some(Piece::Data(bytes)) if bytes.is_empty() => {}
                Some(Piece::Data(bytes)) => {
                    if chunked {
                        // Writing to memory does not fail.
                        let _ = write!(text, "{:x}\r\n", bytes.len());
                    }
                    text.extend_from_slice(&bytes);
                    if chunked {
                        text.extend_from_slice(b"\r\n");
                    }
                    begun = true;
                    self.write(&text).await?;
                    text.clear();
                }
            }
        }
    }

    /// Writes all; a slow client has time for as long as it takes something.
    async fn write(&mut self, mut text: &[u8]) -> io::Result<()> {
        while !text.is_empty() {
            let n = self.socket.write(text).await?;
            text = &text[n..];
            self.state.enter(Stage::Passing);
        }
        Ok(())
    }

    /// Reads what is still to come of a body, so that its client gets to read the answer.
    pub async fn discard_rest(&mut self) {
        let Some(mut rest) = self.rest.take() else { return };
        self.state.enter(Stage::Body);
        let mut waste = BytesMut::new();
        while let Ok(false) = rest.decode(self.buffer, &mut waste, usize::MAX) {
            waste.clear();
            if self.context.read(self.socket, self.buffer, self.state, stream::MAX_PIECE_BYTES).await.is_err()
            {
                return;
            }
        }
    }
}
