//! One request on a client's connection, up to its final answer.

use crate::node::{
    connection::clients::{
        context::Context,
        handler::{FinalAnswer, RequestHandler},
        memory::MemoryPermit,
        reading::{CONTINUE, MAX_GATHERED, ReceivedBody},
        state::{Closing, ConnectionState, Stage},
    },
    wire::{
        client_request::ClientRequest,
        client_response::{ClientResponse, ResponseBody},
        request_body::BodyDecoder,
        stream::{self, Content, Piece},
    },
};
use bytes::BytesMut;
use hyper::StatusCode;
use oliverack::RequestId;
use std::{io, time::Instant};
use tokio::{
    io::{AsyncWriteExt, Interest},
    net::TcpStream,
    sync::{mpsc, oneshot},
};

/// One request and its answer on a connection.
pub struct Exchange<'a, 'c> {
    pub context: &'c Context,
    pub socket: &'a mut TcpStream,
    pub buffer: &'a mut BytesMut,
    /// What the buffer takes of the memory for bodies.
    pub ahead: &'a mut MemoryPermit<'c>,
    pub state: &'a ConnectionState,
    pub permit: MemoryPermit<'c>,
    /// What has not come yet of a body that nobody wants any more.
    pub rest: Option<BodyDecoder>,
    /// The answer was cut short: nothing more may be said on the connection.
    pub cut: bool,
}

impl Exchange<'_, '_> {
    /// Hands the request over and waits for the final answer, passing on a large body meanwhile.
    pub async fn serve(
        &mut self,
        mut request: ClientRequest,
        body: ReceivedBody,
        expects: bool,
    ) -> Result<ClientResponse, Closing> {
        let handler = &*self.context.handler;
        let mut upload = None;
        request.upstream.body = match body {
            ReceivedBody::Whole(bytes) => Content::Whole(bytes),
            ReceivedBody::Large { first, rest, length } => {
                let (pieces, content) = Content::stream(length);
                upload = Some(Upload { pieces, piece: first, rest });
                content
            }
        };
        let Some((request_id, mut receiver)) = handler.accept(request) else {
            self.rest = upload.map(|u| u.rest);
            return Ok(ClientResponse::plain(StatusCode::CONFLICT));
        };
        let mut waiting = Waiting { handler, request_id: &request_id, answered: false };
        let mut early = None;
        if let Some(upload) = upload {
            early = self.forward_body(upload, expects, &mut receiver).await?;
            if early.is_none() {
                handler.received_whole(&request_id);
            }
        }
        self.state.enter(Stage::Busy);
        let answer = match early {
            Some(answer) => answer,
            None => self.wait(&mut receiver).await?,
        };
        waiting.answered = true;
        Ok(match answer {
            Ok(FinalAnswer::Served(body)) => ClientResponse::whole(StatusCode::OK, body),
            Ok(FinalAnswer::Streamed { length, pieces }) => ClientResponse {
                body: ResponseBody::Pieces { length, pieces },
                ..ClientResponse::plain(StatusCode::OK)
            },
            Ok(FinalAnswer::Refused { retry_after }) => {
                ClientResponse { retry_after, ..ClientResponse::plain(StatusCode::TOO_MANY_REQUESTS) }
            }
            Ok(FinalAnswer::Failed) | Err(_) => ClientResponse::plain(StatusCode::BAD_GATEWAY),
        })
    }

    /// Passes a body on as it comes; an answer that is there before its end ends that.
    async fn forward_body(
        &mut self,
        mut upload: Upload,
        expects: bool,
        receiver: &mut oneshot::Receiver<FinalAnswer>,
    ) -> Result<Option<AnswerOrDropped>, Closing> {
        if expects && self.buffer.is_empty() && upload.piece.is_empty() {
            if let Some(answer) = self.answer_or_continue(receiver).await {
                return Ok(Some(Ok(answer)));
            }
        }
        loop {
            let whole = upload.rest.decode(self.buffer, &mut upload.piece, stream::MAX_PIECE_BYTES)?;
            let full = upload.piece.len() >= stream::MAX_PIECE_BYTES;
            let data =
                if upload.piece.is_empty() { None } else { Some(Piece::Data(upload.piece.split().freeze())) };
            let before = self.buffer.len();
            for piece in data.into_iter().chain(whole.then_some(Piece::End)) {
                self.state.enter(Stage::Busy);
                let held = Instant::now();
                // Either of the first two ends the body's way; the piece that is not sent then is of no more use.
                let sent = tokio::select! {
                    biased;
                    answer = &mut *receiver => {
                        self.rest = (!whole).then_some(upload.rest);
                        return Ok(Some(answer));
                    }
                    () = self.left() => return Err(Closing::Quietly),
                    sent = upload.pieces.send(piece) => sent,
                };
                self.state.extend_since(held);
                if sent.is_err() && !whole {
                    // The attempt is over, so the answer is on its way; nobody wants the rest.
                    self.rest = Some(upload.rest);
                    return receiver
                        .await
                        .map(|answer| Some(Ok(answer)))
                        .or(Ok(Some(Ok(FinalAnswer::Failed))));
                }
            }
            if whole {
                return Ok(None);
            }
            if full && !self.buffer.is_empty() || self.buffer.len() > before {
                continue;
            }
            self.state.stage.set(Stage::Body);
            tokio::select! {
                biased;
                answer = &mut *receiver => {
                    self.rest = Some(upload.rest);
                    return Ok(Some(answer));
                }
                read = self.context.read(self.socket, self.buffer, self.state, stream::MAX_PIECE_BYTES) => read?,
            }
        }
    }

    /// Refused at once, a client that waits for a word need not send its body; else it is told to.
    async fn answer_or_continue(
        &mut self,
        receiver: &mut oneshot::Receiver<FinalAnswer>,
    ) -> Option<FinalAnswer> {
        if let Ok(answer) = receiver.try_recv() {
            return Some(answer);
        }
        let _ = self.socket.write_all(CONTINUE).await;
        None
    }

    /// Waits for the final answer; an end where the client went before. A lost branch loses nothing: the answer
    /// stays with the receiver, a close with the socket, and what was read with the buffer.
    async fn wait(
        &mut self,
        receiver: &mut oneshot::Receiver<FinalAnswer>,
    ) -> Result<AnswerOrDropped, Closing> {
        tokio::select! {
            biased;
            answer = receiver => Ok(answer),
            () = self.left() => Err(Closing::Quietly),
        }
    }

    /// Waits until the client has left. What it sends behind its request, or ahead of what its body's way takes, is
    /// read meanwhile, within a bound: the system holds only so much, and tells no close that stands behind more.
    async fn left(&mut self) {
        while self.buffer.len() + stream::MAX_PIECE_BYTES <= MAX_GATHERED
            && self.context.memory.is_plenty(stream::MAX_PIECE_BYTES)
        {
            tokio::select! {
                biased;
                () = left(self.socket) => return,
                ready = self.socket.readable() => if ready.is_err() { return },
            }
            let wanted = self.buffer.len() + stream::MAX_PIECE_BYTES;
            if wanted > self.ahead.bytes() {
                let Some(more) = self.context.memory.take(wanted - self.ahead.bytes()) else { break };
                self.ahead.join(more);
            }
            self.buffer.reserve(stream::MAX_PIECE_BYTES);
            match self.socket.try_read_buf(self.buffer) {
                Ok(0) => return,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        left(self.socket).await;
    }
}

/// A body on its way through: what has been read of it and not passed on, and what is to come.
struct Upload {
    pieces: mpsc::Sender<Piece>,
    piece: BytesMut,
    rest: BodyDecoder,
}

/// The final answer, or that the handler has dropped it.
type AnswerOrDropped = Result<FinalAnswer, oneshot::error::RecvError>;

/// A request that waits for its answer; dropped before, its client has gone.
struct Waiting<'a> {
    handler: &'a dyn RequestHandler,
    request_id: &'a RequestId,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.handler.left(self.request_id);
        }
    }
}

/// Waits until the client has closed or reset its connection. The system tells that by itself, so it is seen also
/// past what the client has sent before and nobody has read yet.
async fn left(socket: &TcpStream) {
    // An event's own flag for urgent data is not asked for at the system, which leaves the end of the reading.
    // A failure means that the runtime is going, and this task with it.
    let _ = socket.ready(Interest::PRIORITY).await;
}
