//! Streams a large request body from the client to the attempt that sends it to an endpoint.

use crate::node::{
    connection::clients::{
        handler::FinalResponse,
        socket::ClientSocket,
        state::{CloseReason, ConnectionEnd, Stage},
    },
    wire::{
        body_arrival::BodyArrival,
        request_body::BodyDecoder,
        stream::{BodyFrame, MAX_FRAME_BYTES},
    },
};
use bytes::BytesMut;
use std::{rc::Rc, time::Instant};
use tokio::{
    sync::{mpsc, oneshot},
    task::yield_now,
};

/// A request body that is being streamed.
pub struct BodyUpload {
    /// Sender of the frames to the attempt.
    pub sender: mpsc::Sender<BodyFrame>,
    /// Arrival of the body, which the time limits of the request follow.
    pub arrival: Rc<BodyArrival>,
    /// Bytes that were decoded but not sent to the attempt yet.
    pub pending: BytesMut,
    /// Decoder for the rest of the body.
    pub decoder: BodyDecoder,
}

/// Outcome of an upload.
pub enum UploadOutcome {
    /// The complete body was read from the client. The attempt may have ended before it took all frames.
    Complete,
    /// The final response arrived before the upload was complete.
    ResponseArrived {
        response: FinalResponse,
        /// The rest of the upload; `None` if the body was read whole.
        rest: Option<UnfinishedUpload>,
    },
}

/// An upload that the final response has overtaken.
pub struct UnfinishedUpload {
    /// Decoder for the rest of the body, which must be discarded.
    pub decoder: BodyDecoder,
    /// Sender of the frames, which gets no more. Dropping it closes the attempt's connection, on which the response may
    /// still be arriving.
    pub sender: mpsc::Sender<BodyFrame>,
}

/// Outcome of sending one frame to the attempt.
enum SendOutcome {
    Sent,
    /// The attempt has ended, so the final response is about to arrive.
    AttemptEnded,
    ResponseArrived(FinalResponse),
}

impl BodyUpload {
    /// Streams the body until it is complete or the final response arrives.
    ///
    /// # Errors
    /// Returns an error if the client has disconnected or sends too slowly, or if the body is malformed or too large.
    pub async fn run(
        mut self,
        socket: &mut ClientSocket<'_>,
        expects_continue: bool,
        response_receiver: &mut oneshot::Receiver<FinalResponse>,
    ) -> Result<UploadOutcome, ConnectionEnd> {
        if expects_continue && socket.buffer.is_empty() && self.pending.is_empty() {
            if let Ok(response) = response_receiver.try_recv() {
                // A client may send the body without having been asked for it.
                return Ok(self.end_incomplete(response));
            }
            socket.send_continue().await;
        }
        loop {
            let is_complete = self.decoder.decode(&mut socket.buffer, &mut self.pending, MAX_FRAME_BYTES)?;
            let is_full_frame = self.pending.len() >= MAX_FRAME_BYTES;
            let buffered_bytes = socket.buffer.len();
            for frame in self.take_ready_frames(is_complete) {
                match self.send(frame, socket, response_receiver).await? {
                    SendOutcome::Sent => {}
                    // The body needs no more reading, and the caller waits for the response.
                    SendOutcome::AttemptEnded if is_complete => {}
                    SendOutcome::AttemptEnded => {
                        let response = response_receiver.await.unwrap_or(FinalResponse::Failed);
                        return Ok(self.end_incomplete(response));
                    }
                    SendOutcome::ResponseArrived(response) if is_complete => {
                        return Ok(UploadOutcome::ResponseArrived { response, rest: None });
                    }
                    SendOutcome::ResponseArrived(response) => return Ok(self.end_incomplete(response)),
                }
            }
            if is_complete {
                return Ok(UploadOutcome::Complete);
            }
            let has_read_ahead = socket.buffer.len() > buffered_bytes;
            if has_read_ahead || is_full_frame && !socket.buffer.is_empty() {
                continue;
            }
            if let Some(response) = self.read_more(socket, response_receiver).await? {
                return Ok(self.end_incomplete(response));
            }
        }
    }

    /// Reads more of the body. Returns the final response if that arrives first.
    async fn read_more(
        &self,
        socket: &mut ClientSocket<'_>,
        response_receiver: &mut oneshot::Receiver<FinalResponse>,
    ) -> Result<Option<FinalResponse>, ConnectionEnd> {
        socket.state.set_stage(Stage::ReceivingBody);
        self.arrival.await_client();
        tokio::select! {
            biased;
            response = response_receiver => return Ok(Some(response.unwrap_or(FinalResponse::Failed))),
            read = socket.read(MAX_FRAME_BYTES) => read?,
        }
        self.arrival.end_wait(socket.last_awaited_at);
        // Decoding a body of tiny chunks takes long, so other connections come between.
        yield_now().await;
        Ok(None)
    }

    /// Ends the upload with a response that arrived before the body was read whole.
    fn end_incomplete(self, response: FinalResponse) -> UploadOutcome {
        let rest = UnfinishedUpload { decoder: self.decoder, sender: self.sender };
        UploadOutcome::ResponseArrived { response, rest: Some(rest) }
    }

    /// Takes the frames that are ready to be sent: the pending bytes, and the end of the body if it is complete.
    fn take_ready_frames(&mut self, is_complete: bool) -> impl Iterator<Item = BodyFrame> + use<> {
        let data_frame = (!self.pending.is_empty()).then(|| BodyFrame::Data(self.pending.split().freeze()));
        let end_frame = is_complete.then_some(BodyFrame::End);
        data_frame.into_iter().chain(end_frame)
    }

    /// Sends one frame as soon as the channel to the attempt has room.
    async fn send(
        &self,
        frame: BodyFrame,
        socket: &mut ClientSocket<'_>,
        response_receiver: &mut oneshot::Receiver<FinalResponse>,
    ) -> Result<SendOutcome, ConnectionEnd> {
        socket.state.enter(Stage::Processing);
        let started_at = Instant::now();
        let frame_bytes = frame.data_length();
        // The first two branches end the upload, so the frame that the third branch drops is not needed.
        let sent = tokio::select! {
            biased;
            response = &mut *response_receiver => {
                return Ok(SendOutcome::ResponseArrived(response.unwrap_or(FinalResponse::Failed)));
            }
            () = socket.wait_for_disconnect_in_upload(&self.arrival) => {
                return Err(ConnectionEnd::WithoutResponse(CloseReason::ClientDisconnected));
            }
            sent = self.sender.send(frame) => sent,
        };
        socket.state.exclude_gateway_wait(started_at);
        self.arrival.show_close();
        self.arrival.record_forwarded(frame_bytes, Instant::now());
        Ok(if sent.is_ok() { SendOutcome::Sent } else { SendOutcome::AttemptEnded })
    }
}
