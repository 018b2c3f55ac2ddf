//! Exchange of one request and its final response on a client's connection.

use crate::node::{
    connection::{
        body_memory::MemoryPermit,
        clients::{
            body_upload::{BodyUpload, UnfinishedUpload, UploadOutcome},
            handler::{FinalResponse, RequestHandler},
            request_reader::{ReceivedBody, ReceivedContent},
            response_writer::{self, Delivery},
            socket::{ClientSocket, UNRESERVED_BUFFER_BYTES},
            state::{CloseReason, ConnectionEnd, Stage},
        },
    },
    wire::{
        body_arrival::BodyArrival,
        client_request::ClientRequest,
        client_response::ClientResponse,
        request_body::BodyDecoder,
        stream::{BodyFrame, RequestBody},
    },
};
use bytes::BytesMut;
use oliverack::RequestId;
use std::{rc::Rc, time::Instant};
use tokio::{
    sync::{mpsc, oneshot},
    task::yield_now,
};
use tracing::debug;

/// One request and its response on a connection.
pub struct Exchange<'a, 'c> {
    socket: &'a mut ClientSocket<'c>,
    /// Memory reserved for the response's body.
    response_memory: Option<MemoryPermit>,
    /// Decoder for the rest of a request body that must be discarded; `None` if there is none.
    unread_body_decoder: Option<BodyDecoder>,
    /// Sender of an unfinished upload, kept until the streamed response that overtook it has ended.
    upload_sender: Option<mpsc::Sender<BodyFrame>>,
}

impl<'a, 'c> Exchange<'a, 'c> {
    /// Creates an exchange.
    pub fn new(socket: &'a mut ClientSocket<'c>) -> Self {
        Self { socket, response_memory: None, unread_body_decoder: None, upload_sender: None }
    }

    /// Creates an exchange whose response does not come from the handler. The rest of the body stays unread.
    pub fn without_handler(socket: &'a mut ClientSocket<'c>, body: ReceivedBody) -> Self {
        Self { unread_body_decoder: body.content.into_decoder(), ..Self::new(socket) }
    }

    /// Returns whether the connection must close after the response, because the client may still send the rest of a body
    /// that is not needed, or requests behind this one were discarded.
    pub fn must_close(&self) -> bool {
        self.unread_body_decoder.is_some() || self.socket.is_input_discarded
    }

    /// Hands the request to the handler; returns `None` if a request with the same transaction id is open.
    pub fn submit(&mut self, mut request: ClientRequest, body: ReceivedBody) -> Option<AcceptedRequest<'c>> {
        let handler = &*self.socket.context.handler;
        let mut upload = None;
        request.upstream.body = match body.content {
            ReceivedContent::Complete(bytes) => RequestBody::Buffered(bytes),
            ReceivedContent::Partial { received, decoder, length } => {
                let arrival = Rc::new(BodyArrival::new(self.socket.last_awaited_at, length));
                let (sender, body) = RequestBody::streamed(length, arrival.clone());
                upload = Some(BodyUpload { sender, arrival, pending: received, decoder });
                body
            }
        };
        let received_at = self.socket.context.hold_ups.earliest_arrival(Instant::now());
        let Some((id, response_receiver)) = handler.accept(request, body.memory, received_at) else {
            self.unread_body_decoder = upload.map(|upload| upload.decoder);
            return None;
        };
        Some(AcceptedRequest { handler, id, response_receiver, upload, has_response: false })
    }

    /// Waits for the final response. Streams the request body meanwhile if it is too large to be buffered.
    ///
    /// # Errors
    /// Returns an error if the client has disconnected or sends the body too slowly, or if the body is malformed or too
    /// large.
    pub async fn wait_for_response(
        &mut self,
        request: &mut AcceptedRequest<'_>,
        expects_continue: bool,
    ) -> Result<ClientResponse, ConnectionEnd> {
        let early_response = match request.upload.take() {
            Some(upload) => self.run_upload(upload, expects_continue, request).await?,
            None => None,
        };
        self.socket.state.enter(Stage::Processing);
        let response = match early_response {
            Some(response) => response,
            None => self.receive_response(&mut request.response_receiver).await?,
        };
        request.has_response = true;
        self.socket.release_empty_buffer();
        let (response, memory) = response.into_client_response();
        self.response_memory = memory;
        Ok(response)
    }

    /// Streams the request body. Returns the final response if it arrives before the end of the body.
    async fn run_upload(
        &mut self,
        upload: BodyUpload,
        expects_continue: bool,
        request: &mut AcceptedRequest<'_>,
    ) -> Result<Option<FinalResponse>, ConnectionEnd> {
        match upload.run(self.socket, expects_continue, &mut request.response_receiver).await? {
            UploadOutcome::Complete => {
                debug!(request = ?self.socket.state.last_transaction_id.borrow(), "request body received");
                request.handler.request_body_received(&request.id);
                Ok(None)
            }
            UploadOutcome::ResponseArrived { response, rest } => {
                let is_body_read = rest.is_none();
                debug!(request = ?self.socket.state.last_transaction_id.borrow(), is_body_read, "upload ended early");
                if let Some(UnfinishedUpload { decoder, sender }) = rest {
                    let is_streamed = matches!(response, FinalResponse::Streamed { .. });
                    self.unread_body_decoder = Some(decoder);
                    self.upload_sender = is_streamed.then_some(sender);
                }
                Ok(Some(response))
            }
        }
    }

    /// Waits for the final response or a disconnect. Both branches are cancel safe: the response stays in the receiver,
    /// the disconnect in the socket, and bytes that were read in the buffer.
    async fn receive_response(
        &mut self,
        response_receiver: &mut oneshot::Receiver<FinalResponse>,
    ) -> Result<FinalResponse, ConnectionEnd> {
        tokio::select! {
            biased;
            response = response_receiver => Ok(response.unwrap_or(FinalResponse::Failed)),
            () = self.socket.wait_for_disconnect() => {
                Err(ConnectionEnd::WithoutResponse(CloseReason::ClientDisconnected))
            }
        }
    }

    /// Writes the response to the client.
    ///
    /// # Errors
    /// Returns an error if the client has disconnected.
    pub async fn respond(
        &mut self,
        response: ClientResponse,
        keep_alive: bool,
        minor_version: u8,
    ) -> Result<Delivery, ConnectionEnd> {
        let memory = self.response_memory.take();
        let written =
            response_writer::write_response(self.socket, memory, response, keep_alive, minor_version).await;
        self.upload_sender = None;
        written.map_err(|_| ConnectionEnd::WithoutResponse(CloseReason::ClientDisconnected))
    }

    /// Closes the connection. Shuts down the sending side first, so that a client that waits for the end of the
    /// connection sends no more; then discards the rest of the request body, so that the client can read the response.
    pub async fn close(mut self) {
        self.socket.shut_down_sending().await;
        self.discard_unread_body().await;
        self.socket.drain_output().await;
        self.socket.linger().await;
    }

    /// Reads and discards the rest of the request body, because a client may not read the response before it has sent
    /// the complete body.
    async fn discard_unread_body(&mut self) {
        let Some(mut decoder) = self.unread_body_decoder.take() else { return };
        self.socket.state.enter(Stage::ReceivingBody);
        let mut discarded = BytesMut::new();
        while let Ok(false) = decoder.decode(&mut self.socket.buffer, &mut discarded, usize::MAX) {
            discarded.clear();
            if self.socket.read(UNRESERVED_BUFFER_BYTES).await.is_err() {
                return;
            }
            yield_now().await;
        }
    }
}

/// A request that the handler has accepted. If it is dropped before the final response arrives, it notifies the handler
/// that the client has disconnected.
pub struct AcceptedRequest<'c> {
    handler: &'c dyn RequestHandler,
    id: RequestId,
    response_receiver: oneshot::Receiver<FinalResponse>,
    /// Upload of a streamed body; `None` if the body is buffered or the upload has begun.
    upload: Option<BodyUpload>,
    has_response: bool,
}

impl Drop for AcceptedRequest<'_> {
    fn drop(&mut self) {
        if !self.has_response {
            self.handler.client_disconnected(&self.id);
        }
    }
}
