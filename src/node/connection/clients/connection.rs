//! Serves the requests of one client's connection, one after another.

use crate::node::{
    connection::clients::{
        context::ConnectionContext,
        exchange::Exchange,
        request_reader::{self, ReceivedBody},
        response_writer::Delivery,
        socket::ClientSocket,
        state::{ConnectionEnd, ConnectionState, Stage},
    },
    metrics,
    wire::{
        client_request::{ClientRequest, InvalidRequest},
        client_response::ClientResponse,
        request_head::RequestHead,
    },
};
use hyper::StatusCode;
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// The path of the health check for load balancers in front of the gateway.
const HEALTH_CHECK_PATH: &str = "/up";

/// A client's connection.
pub struct ClientConnection<'c> {
    context: &'c ConnectionContext,
    socket: ClientSocket<'c>,
}

impl<'c> ClientConnection<'c> {
    /// A connection that has just been accepted.
    pub fn new(context: &'c ConnectionContext, tcp: TcpStream, state: &'c ConnectionState) -> Self {
        Self { context, socket: ClientSocket::new(context, tcp, state) }
    }

    /// Serves the connection until it ends.
    pub async fn run(&mut self) {
        let end = self.serve_requests().await;
        self.socket.release_buffer();
        if let ConnectionEnd::WithStatus(status) = end {
            self.socket.state.enter(Stage::WritingResponse);
            let response = ClientResponse::without_body(status).render(false, 1);
            // A client that can't be told sees the close.
            let _ = self.socket.tcp.write_all(&response).await;
            self.socket.linger().await;
        }
    }

    async fn serve_requests(&mut self) -> ConnectionEnd {
        loop {
            if let Err(end) = self.serve_next().await {
                return end;
            }
            self.socket.release_empty_buffer();
            self.socket.state.enter(Stage::Idle);
        }
    }

    /// Reads one request and answers it.
    ///
    /// # Errors
    /// The connection is not kept after it.
    async fn serve_next(&mut self) -> Result<(), ConnectionEnd> {
        let head = request_reader::read_head(&mut self.socket).await?;
        let request = self.parse(&head);
        let body = match request_reader::read_body(&mut self.socket, &head).await {
            Ok(body) => body,
            Err(end) => {
                if let Ok(request) = &request {
                    self.count_unread(request, &end);
                }
                return Err(end);
            }
        };
        match request {
            Ok(request) => self.serve_request(request, body, &head).await,
            Err(status) => self.answer_unhandled(status, body, &head).await,
        }
    }

    /// The request, or the status that answers it without the handler.
    fn parse(&self, head: &RequestHead) -> Result<ClientRequest, StatusCode> {
        if head.uri.path() == HEALTH_CHECK_PATH {
            return Err(self.context.health_status());
        }
        ClientRequest::parse(head, &self.context.options).map_err(InvalidRequest::status)
    }

    /// Counts a valid request whose body found no memory. One whose client failed to send it is not counted.
    fn count_unread(&self, request: &ClientRequest, end: &ConnectionEnd) {
        if let ConnectionEnd::WithStatus(StatusCode::SERVICE_UNAVAILABLE) = end {
            self.context.metrics.request_started(request.class).end(metrics::RequestOutcome::Rejected);
        }
    }

    async fn serve_request(
        &mut self,
        request: ClientRequest,
        body: ReceivedBody<'c>,
        head: &RequestHead,
    ) -> Result<(), ConnectionEnd> {
        let mut exchange = Exchange::new(&mut self.socket, body.memory);
        let in_flight = self.context.metrics.request_started(request.class);
        let response = match exchange.submit(request, body.content) {
            Some(mut accepted) => {
                exchange.wait_for_response(&mut accepted, head.expects_continue).await?.into()
            }
            None => ClientResponse::without_body(StatusCode::CONFLICT),
        };
        let keep_alive = may_keep_alive(self.context, &exchange, &response, head);
        let delivery = exchange.respond(response, keep_alive, head.minor_version).await?;
        in_flight.end(delivery.outcome());
        finish(exchange, &delivery, keep_alive).await
    }

    async fn answer_unhandled(
        &mut self,
        status: StatusCode,
        body: ReceivedBody<'c>,
        head: &RequestHead,
    ) -> Result<(), ConnectionEnd> {
        let mut exchange = Exchange::unhandled(&mut self.socket, body);
        let response = ClientResponse::without_body(status);
        let keep_alive = may_keep_alive(self.context, &exchange, &response, head);
        let delivery = exchange.respond(response, keep_alive, head.minor_version).await?;
        finish(exchange, &delivery, keep_alive).await
    }
}

/// Whether the connection may carry another request after this response.
fn may_keep_alive(
    context: &ConnectionContext,
    exchange: &Exchange<'_, '_>,
    response: &ClientResponse,
    head: &RequestHead,
) -> bool {
    head.allows_keep_alive
        && response.is_self_delimiting(head.minor_version)
        && !context.is_stopping.get()
        && !exchange.has_unread_body()
}

/// Keeps the connection after a response, or closes it.
async fn finish(
    exchange: Exchange<'_, '_>,
    delivery: &Delivery,
    keep_alive: bool,
) -> Result<(), ConnectionEnd> {
    if let Delivery::Truncated = delivery {
        return Err(ConnectionEnd::Silent);
    }
    if !keep_alive {
        exchange.close().await;
        return Err(ConnectionEnd::Silent);
    }
    Ok(())
}
