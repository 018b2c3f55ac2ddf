//! One request on a client's connection, up to its final response.

use crate::node::{
    connection::clients::{
        body_upload::{BodyUpload, UploadEnd},
        handler::{FinalResponse, RequestHandler},
        memory::MemoryPermit,
        request_reader::{ReceivedBody, ReceivedContent},
        response_writer::{self, Delivery},
        socket::ClientSocket,
        state::{ConnectionEnd, Stage},
    },
    wire::{
        client_request::ClientRequest,
        client_response::ClientResponse,
        request_body::BodyDecoder,
        stream::{MAX_PIECE_BYTES, RequestBody},
    },
};
use bytes::BytesMut;
use oliverack::RequestId;
use tokio::sync::oneshot;

/// A request and its response.
pub struct Exchange<'a, 'c> {
    socket: &'a mut ClientSocket<'c>,
    /// Memory reserved for the request's body.
    memory: MemoryPermit<'c>,
    /// Decodes the rest of a body that nobody wants any more.
    unread_body: Option<BodyDecoder>,
}

impl<'a, 'c> Exchange<'a, 'c> {
    /// An exchange whose request has a body that reserves `memory`.
    pub fn new(socket: &'a mut ClientSocket<'c>, memory: MemoryPermit<'c>) -> Self {
        Self { socket, memory, unread_body: None }
    }

    /// An exchange that is answered without the handler, which leaves the rest of the body unread.
    pub fn unhandled(socket: &'a mut ClientSocket<'c>, body: ReceivedBody<'c>) -> Self {
        Self { socket, memory: body.memory, unread_body: body.content.into_unread() }
    }

    /// Whether the client may still send a body that nobody wants; the connection can't be kept then.
    pub fn has_unread_body(&self) -> bool {
        self.unread_body.is_some()
    }

    /// Hands the request to the handler. `None` if a request with the same transaction id is open.
    pub fn submit(
        &mut self,
        mut request: ClientRequest,
        content: ReceivedContent,
    ) -> Option<AcceptedRequest<'c>> {
        let handler = &*self.socket.context.handler;
        let mut upload = None;
        request.upstream.body = match content {
            ReceivedContent::Complete(bytes) => RequestBody::Buffered(bytes),
            ReceivedContent::Partial { received, decoder, length } => {
                let (sender, body) = RequestBody::streamed(length);
                upload = Some(BodyUpload { sender, pending: received, decoder });
                body
            }
        };
        let Some((id, receiver)) = handler.accept(request) else {
            self.unread_body = upload.map(|upload| upload.decoder);
            return None;
        };
        Some(AcceptedRequest { handler, id, receiver, upload, is_answered: false })
    }

    /// Waits for the final response, streaming a large body meanwhile.
    ///
    /// # Errors
    /// The client has disconnected, or its body is malformed or too slow.
    pub async fn wait_for_response(
        &mut self,
        request: &mut AcceptedRequest<'_>,
        expects_continue: bool,
    ) -> Result<FinalResponse, ConnectionEnd> {
        let early_response = match request.upload.take() {
            Some(upload) => self.run_upload(upload, expects_continue, request).await?,
            None => None,
        };
        self.socket.state.enter(Stage::Processing);
        let response = match early_response {
            Some(response) => response,
            None => self.receive_response(&mut request.receiver).await?,
        };
        request.is_answered = true;
        Ok(response)
    }

    /// Streams the body; returns the final response if that came before the body's end.
    async fn run_upload(
        &mut self,
        upload: BodyUpload,
        expects_continue: bool,
        request: &mut AcceptedRequest<'_>,
    ) -> Result<Option<FinalResponse>, ConnectionEnd> {
        match upload.run(self.socket, expects_continue, &mut request.receiver).await? {
            UploadEnd::Complete => {
                request.handler.request_body_received(&request.id);
                Ok(None)
            }
            UploadEnd::Answered { response, unread_body } => {
                self.unread_body = unread_body;
                Ok(Some(response))
            }
        }
    }

    /// Waits for the final response. The select loses nothing: the response stays with the receiver, a disconnect with
    /// the socket, and bytes that were read with the buffer.
    async fn receive_response(
        &mut self,
        receiver: &mut oneshot::Receiver<FinalResponse>,
    ) -> Result<FinalResponse, ConnectionEnd> {
        tokio::select! {
            biased;
            response = receiver => Ok(response.unwrap_or(FinalResponse::Failed)),
            () = self.socket.wait_for_disconnect() => Err(ConnectionEnd::Silent),
        }
    }

    /// Writes the response to the client.
    ///
    /// # Errors
    /// The client has disconnected.
    pub async fn respond(
        &mut self,
        response: ClientResponse,
        keep_alive: bool,
        minor_version: u8,
    ) -> Result<Delivery, ConnectionEnd> {
        response_writer::write_response(self.socket, &self.memory, response, keep_alive, minor_version)
            .await
            .map_err(|_| ConnectionEnd::Silent)
    }

    /// Closes the connection in a way that lets the client read the response.
    pub async fn close(mut self) {
        self.discard_unread_body().await;
        drop(self.memory);
        self.socket.linger().await;
    }

    /// Reads the rest of an unwanted body: a client may read the response only after it has sent everything.
    async fn discard_unread_body(&mut self) {
        let Some(mut decoder) = self.unread_body.take() else { return };
        self.socket.state.enter(Stage::ReceivingBody);
        let mut discarded = BytesMut::new();
        while let Ok(false) = decoder.decode(&mut self.socket.buffer, &mut discarded, usize::MAX) {
            discarded.clear();
            if self.socket.read(MAX_PIECE_BYTES).await.is_err() {
                return;
            }
        }
    }
}

/// A request that the handler has accepted. Dropped before the final response, it notifies the handler that the client
/// has disconnected.
pub struct AcceptedRequest<'c> {
    handler: &'c dyn RequestHandler,
    id: RequestId,
    receiver: oneshot::Receiver<FinalResponse>,
    /// The body, if it has to be streamed and that has not begun.
    upload: Option<BodyUpload>,
    is_answered: bool,
}

impl Drop for AcceptedRequest<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.handler.client_disconnected(&self.id);
        }
    }
}
