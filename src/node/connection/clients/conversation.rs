//! Serves one request after another on a client's connection.

use crate::node::{
    connection::clients::{
        context::Context,
        exchange::Exchange,
        memory::MemoryPermit,
        state::{Closing, ConnectionState, Stage},
    },
    metrics,
    wire::{
        client_request::{ClientRequest, InvalidRequest},
        client_response::ClientResponse,
    },
};
use bytes::BytesMut;
use hyper::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// The path at which a front asks whether clients are taken.
const UP: &str = "/up";
/// Bytes that are read at once while a connection is left to end.
const LINGER_READ: usize = 4096;
/// Most bytes that are read then.
const MAX_LINGER: usize = 256 * 1024;

impl Context {
    /// Serves one request after another.
    pub(super) async fn converse(&self, socket: &mut TcpStream, state: &ConnectionState) -> Closing {
        let mut buffer = BytesMut::new();
        let mut ahead = self.memory.none();
        loop {
            if buffer.is_empty() {
                ahead = self.memory.none();
            }
            if let Err(closing) = self.serve_next(socket, &mut buffer, &mut ahead, state).await {
                return closing;
            }
            if buffer.is_empty() {
                // Idle connections hold no memory.
                buffer = BytesMut::new();
            }
            state.enter(Stage::Idle);
        }
    }

    /// Reads a request and answers it; how the connection ends, if it is not kept.
    async fn serve_next<'c>(
        &'c self,
        socket: &mut TcpStream,
        buffer: &mut BytesMut,
        ahead: &mut MemoryPermit<'c>,
        state: &ConnectionState,
    ) -> Result<(), Closing> {
        let head = self.read_head(socket, buffer, state).await?;
        let is_up_call = head.uri.path() == UP;
        let request = if is_up_call {
            Err(self.up())
        } else {
            ClientRequest::parse(&head, &self.options).map_err(InvalidRequest::status)
        };
        let (body, permit) = match self.read_body(socket, buffer, state, &head).await {
            Ok(body) => body,
            Err(closing) => {
                if let (Ok(request), Closing::With(StatusCode::SERVICE_UNAVAILABLE)) = (&request, &closing) {
                    self.metrics.take(request.class).end(metrics::Outcome::Refused);
                }
                return Err(closing);
            }
        };
        let mut exchange =
            Exchange { context: self, socket, buffer, ahead, state, permit, rest: None, cut: false };
        let (response, taken) = match request {
            Err(status) => {
                exchange.rest = body.rest();
                (ClientResponse::plain(status), None)
            }
            Ok(request) => {
                let taken = self.metrics.take(request.class);
                (exchange.serve(request, body, head.expects_continue).await?, Some(taken))
            }
        };
        let is_framed = response.is_self_delimiting(head.minor_version);
        let keep = head.allows_keep_alive && is_framed && !self.is_stopping.get() && exchange.rest.is_none();
        let outcome = exchange.respond(response, keep, head.minor_version).await.ok_or(Closing::Quietly)?;
        taken.into_iter().for_each(|taken| taken.end(outcome));
        if exchange.cut {
            return Err(Closing::Quietly);
        }
        if !keep {
            exchange.discard_rest().await;
            drop(exchange);
            linger(socket, state).await;
            return Err(Closing::Quietly);
        }
        Ok(())
    }
}

/// Ends the sending and reads on for a moment, so that the last answer arrives.
pub async fn linger(socket: &mut TcpStream, state: &ConnectionState) {
    state.enter(Stage::Leaving);
    if socket.shutdown().await.is_err() {
        return;
    }
    let mut waste = BytesMut::with_capacity(LINGER_READ);
    for _ in 0..MAX_LINGER / LINGER_READ {
        waste.clear();
        if !matches!(socket.read_buf(&mut waste).await, Ok(n) if n > 0) {
            return;
        }
    }
}
