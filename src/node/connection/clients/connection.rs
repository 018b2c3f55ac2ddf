//! Serves the requests on one client's connection, one after another.

use crate::node::{
    connection::clients::{
        context::ConnectionContext,
        exchange::Exchange,
        request_reader::{self, NO_MEMORY, ReceivedBody},
        response_writer::Delivery,
        socket::ClientSocket,
        state::{CloseReason, ConnectionEnd, ConnectionState, Stage},
    },
    metrics,
    wire::{
        client_request::{ClientRequest, InvalidRequest},
        client_response::ClientResponse,
        request_head::{ExchangeOptions, RequestHead},
    },
};
use hyper::StatusCode;
use tokio::{io::AsyncWriteExt, net::TcpStream, task::yield_now};

/// Path of the health check for load balancers in front of the gateway.
const HEALTH_CHECK_PATH: &str = "/up";

/// Longest parts of a head that are forwarded without a reservation of memory; most requests have shorter ones.
const MAX_UNRESERVED_HEAD_BYTES: usize = 1024;

/// Server for the requests on one client's connection.
pub struct ClientConnection<'c> {
    context: &'c ConnectionContext,
    socket: ClientSocket<'c>,
}

impl<'c> ClientConnection<'c> {
    /// Creates the server for a newly accepted connection.
    pub fn new(context: &'c ConnectionContext, tcp: TcpStream, state: &'c ConnectionState) -> Self {
        Self { context, socket: ClientSocket::new(context, tcp, state) }
    }

    /// Serves requests until the connection ends.
    pub async fn run(&mut self) {
        let connection_end = self.serve_requests().await;
        self.socket.state.log_end(connection_end.reason());
        self.socket.release_buffer();
        if let ConnectionEnd::WithStatus(status) = connection_end {
            self.socket.state.enter(Stage::WritingResponse);
            let response = ClientResponse::without_body(status).render_head(false, 1);
            // A client that this response does not reach still sees the close.
            let _ = self.socket.tcp.write_all(&response).await;
            self.socket.linger().await;
        }
    }

    async fn serve_requests(&mut self) -> ConnectionEnd {
        loop {
            if let Err(connection_end) = self.serve_next_request().await {
                return connection_end;
            }
            self.socket.release_empty_buffer();
            self.socket.state.enter(Stage::Idle);
            if !self.socket.buffer.is_empty() {
                // Other connections come before a client that does not wait for its responses.
                yield_now().await;
            }
        }
    }

    /// Reads one request and writes the response to it.
    ///
    /// # Errors
    /// Returns an error if the connection must end after this request.
    async fn serve_next_request(&mut self) -> Result<(), ConnectionEnd> {
        let head = request_reader::read_head(&mut self.socket).await?;
        let request = self.parse_request(&head);
        let options = head.options;
        // A long head would take memory until the response.
        drop(head);
        self.socket.release_empty_buffer();
        let body = match request_reader::read_body(&mut self.socket, options).await {
            Ok(body) => body,
            Err(connection_end) => {
                if let Ok(request) = &request {
                    self.count_out_of_memory_rejection(request, &connection_end);
                }
                return Err(connection_end);
            }
        };
        match request {
            Ok(request) if self.context.rejects_requests.get() => {
                self.context.metrics.request_started(request.class).end(metrics::RequestOutcome::Rejected);
                self.respond_without_handler(StatusCode::SERVICE_UNAVAILABLE, body, options).await
            }
            Ok(request) => self.serve_request(request, body, options).await,
            Err(status) => self.respond_without_handler(status, body, options).await,
        }
    }

    /// Parses the request. Returns the status of the response as an error if the request does not go to the handler.
    fn parse_request(&self, head: &RequestHead) -> Result<ClientRequest, StatusCode> {
        if head.uri.path() == HEALTH_CHECK_PATH {
            return Err(self.context.health_status());
        }
        ClientRequest::parse(head, &self.context.options).map_err(InvalidRequest::status)
    }

    /// Counts a valid request as rejected if there was no memory for its body. A request that the client failed to send
    /// completely is not counted.
    fn count_out_of_memory_rejection(&self, request: &ClientRequest, connection_end: &ConnectionEnd) {
        if let ConnectionEnd::WithStatus(StatusCode::SERVICE_UNAVAILABLE) = connection_end {
            self.context.metrics.request_started(request.class).end(metrics::RequestOutcome::Rejected);
        }
    }

    async fn serve_request(
        &mut self,
        request: ClientRequest,
        mut body: ReceivedBody,
        options: ExchangeOptions,
    ) -> Result<(), ConnectionEnd> {
        let head_bytes = request.upstream.head_bytes();
        if head_bytes > MAX_UNRESERVED_HEAD_BYTES {
            let needed = body.memory.bytes() + head_bytes;
            if body.memory.extend_to(needed).is_none() {
                self.count_out_of_memory_rejection(&request, &NO_MEMORY);
                return Err(NO_MEMORY);
            }
        }
        let transaction_id = request.upstream.transaction_id.clone();
        self.socket.state.last_transaction_id.replace(Some(transaction_id));
        let mut exchange = Exchange::new(&mut self.socket);
        let in_flight = self.context.metrics.request_started(request.class);
        let response = match exchange.submit(request, body) {
            Some(mut accepted) => exchange.wait_for_response(&mut accepted, options.expects_continue).await?,
            None => ClientResponse::without_body(StatusCode::CONFLICT),
        };
        let keep_alive = may_keep_alive(self.context, &exchange, &response, options);
        let delivery = exchange.respond(response, keep_alive, options.minor_version).await?;
        in_flight.end(delivery.outcome());
        finish_exchange(exchange, &delivery, keep_alive).await
    }

    async fn respond_without_handler(
        &mut self,
        status: StatusCode,
        body: ReceivedBody,
        options: ExchangeOptions,
    ) -> Result<(), ConnectionEnd> {
        let mut exchange = Exchange::without_handler(&mut self.socket, body);
        let response = ClientResponse::without_body(status);
        let keep_alive = may_keep_alive(self.context, &exchange, &response, options);
        let delivery = exchange.respond(response, keep_alive, options.minor_version).await?;
        finish_exchange(exchange, &delivery, keep_alive).await
    }
}

/// Returns whether the connection may carry another request after this response.
fn may_keep_alive(
    context: &ConnectionContext,
    exchange: &Exchange<'_, '_>,
    response: &ClientResponse,
    options: ExchangeOptions,
) -> bool {
    options.allows_keep_alive
        && response.is_self_delimiting(options.minor_version)
        && !context.is_stopping.get()
        && !exchange.must_close()
}

/// Ends an exchange: keeps the connection open for the next request, or closes it and returns an error.
async fn finish_exchange(
    exchange: Exchange<'_, '_>,
    delivery: &Delivery,
    keep_alive: bool,
) -> Result<(), ConnectionEnd> {
    if let Delivery::Truncated = delivery {
        return Err(ConnectionEnd::WithoutResponse(CloseReason::TruncatedResponse));
    }
    if !keep_alive {
        exchange.close().await;
        return Err(ConnectionEnd::WithoutResponse(CloseReason::AfterResponse));
    }
    Ok(())
}
