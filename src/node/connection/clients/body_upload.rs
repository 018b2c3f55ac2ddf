//! Streams a large request body from the client to the attempt that sends it.

use crate::node::{
    connection::clients::{
        handler::FinalResponse,
        socket::ClientSocket,
        state::{ConnectionEnd, Stage},
    },
    wire::{
        request_body::BodyDecoder,
        stream::{MAX_PIECE_BYTES, Piece},
    },
};
use bytes::BytesMut;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

/// A body that is being streamed.
pub struct BodyUpload {
    /// Takes the pieces to the attempt.
    pub sender: mpsc::Sender<Piece>,
    /// Bytes that were decoded and not yet sent.
    pub pending: BytesMut,
    /// Decodes the bytes to come.
    pub decoder: BodyDecoder,
}

/// How an upload ended.
pub enum UploadEnd {
    /// The complete body was handed over.
    Complete,
    /// The final response came first.
    Answered {
        response: FinalResponse,
        /// Decodes the rest of the body, which nobody wants, if the client is going to send it.
        unread_body: Option<BodyDecoder>,
    },
}

/// How the sending of one piece ended.
enum SendEnd {
    Sent,
    /// The attempt has ended, so the final response is on its way.
    AttemptEnded,
    Answered(FinalResponse),
}

impl BodyUpload {
    /// Streams the body until its end or the final response, whichever comes first.
    ///
    /// # Errors
    /// The client has disconnected, sends too slowly or sends a malformed body.
    pub async fn run(
        mut self,
        socket: &mut ClientSocket<'_>,
        expects_continue: bool,
        receiver: &mut oneshot::Receiver<FinalResponse>,
    ) -> Result<UploadEnd, ConnectionEnd> {
        if expects_continue && socket.buffer.is_empty() && self.pending.is_empty() {
            if let Ok(response) = receiver.try_recv() {
                // The client was not asked to send the body, so none of it stays unread.
                return Ok(UploadEnd::Answered { response, unread_body: None });
            }
            socket.send_continue().await;
        }
        loop {
            let is_complete = self.decoder.decode(&mut socket.buffer, &mut self.pending, MAX_PIECE_BYTES)?;
            let is_full_piece = self.pending.len() >= MAX_PIECE_BYTES;
            let buffered_bytes = socket.buffer.len();
            for piece in self.next_pieces(is_complete) {
                match self.send(piece, socket, receiver).await? {
                    SendEnd::Sent => {}
                    // The body needs no further reading, and the caller waits for the response.
                    SendEnd::AttemptEnded if is_complete => {}
                    SendEnd::AttemptEnded => {
                        let response = receiver.await.unwrap_or(FinalResponse::Failed);
                        return Ok(UploadEnd::Answered { response, unread_body: Some(self.decoder) });
                    }
                    SendEnd::Answered(response) => {
                        let unread_body = (!is_complete).then_some(self.decoder);
                        return Ok(UploadEnd::Answered { response, unread_body });
                    }
                }
            }
            if is_complete {
                return Ok(UploadEnd::Complete);
            }
            let was_read_ahead = socket.buffer.len() > buffered_bytes;
            if was_read_ahead || is_full_piece && !socket.buffer.is_empty() {
                continue;
            }
            socket.state.continue_in(Stage::ReceivingBody);
            tokio::select! {
                biased;
                response = &mut *receiver => {
                    let response = response.unwrap_or(FinalResponse::Failed);
                    return Ok(UploadEnd::Answered { response, unread_body: Some(self.decoder) });
                }
                read = socket.read(MAX_PIECE_BYTES) => read?,
            }
        }
    }

    /// The pieces that are ready to be sent: the pending bytes, and the end mark if the body is complete.
    fn next_pieces(&mut self, is_complete: bool) -> impl Iterator<Item = Piece> + use<> {
        let data = (!self.pending.is_empty()).then(|| Piece::Data(self.pending.split().freeze()));
        let end = is_complete.then_some(Piece::End);
        data.into_iter().chain(end)
    }

    /// Sends one piece as soon as the attempt takes it.
    async fn send(
        &self,
        piece: Piece,
        socket: &mut ClientSocket<'_>,
        receiver: &mut oneshot::Receiver<FinalResponse>,
    ) -> Result<SendEnd, ConnectionEnd> {
        socket.state.enter(Stage::Processing);
        let started_at = Instant::now();
        // The first two branches end the upload, so a piece that is dropped with the third is not missed.
        let sent = tokio::select! {
            biased;
            response = &mut *receiver => {
                return Ok(SendEnd::Answered(response.unwrap_or(FinalResponse::Failed)));
            }
            () = socket.wait_for_disconnect() => return Err(ConnectionEnd::Silent),
            sent = self.sender.send(piece) => sent,
        };
        socket.state.exclude_wait(started_at);
        Ok(if sent.is_ok() { SendEnd::Sent } else { SendEnd::AttemptEnded })
    }
}
