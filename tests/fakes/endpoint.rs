//! Fake endpoints that respond, fail or wait as a test chooses.

use super::{
    Message, WAIT_LIMIT,
    message::read_message,
    ports::{accept_connections, listen},
};
use std::{
    io::{BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::Duration,
};

/// Waits until the gateway may reuse a connection to an endpoint that has just responded.
pub fn wait_until_connection_is_reusable() {
    thread::sleep(Duration::from_millis(20));
}

/// Reaction of a fake endpoint to a request.
#[derive(Clone)]
pub enum EndpointBehaviour {
    /// Responds 200 with this body.
    Respond(&'static str),
    /// Writes these bytes unchanged.
    WriteRaw(&'static str),
    /// Writes the first part, then the second once the gate opens, and closes the connection.
    WriteRawInTwoParts(&'static str, Arc<Gate>, &'static str),
    /// Responds, then writes these unsolicited bytes once the gate opens.
    RespondThenWriteRaw(Arc<Gate>, &'static str),
    /// Closes the connection without a response.
    Close,
    /// Responds to the first request of a connection and closes at the next without a response.
    RespondOnce,
    /// Responds without `Connection: close`, then shuts down the sending side.
    RespondThenShutDown,
    /// Holds the request until the gateway closes the connection.
    HoldUntilClosed,
    /// Responds once the gate opens.
    RespondAfter(Arc<Gate>),
    /// Closes the connection without a response once the gate opens.
    CloseAfter(Arc<Gate>),
}

/// Latch on which a fake endpoint waits; stays open once opened.
#[derive(Default)]
pub struct Gate {
    is_open: Mutex<bool>,
    opened: Condvar,
}

impl Gate {
    pub fn open(&self) {
        *self.is_open.lock().expect("the lock is not poisoned") = true;
        self.opened.notify_all();
    }

    /// Waits until the gate is open, at most for [`WAIT_LIMIT`].
    fn wait(&self) {
        let guard = self.is_open.lock().expect("the lock is not poisoned");
        let is_closed = |is_open: &mut bool| !*is_open;
        let result = self.opened.wait_timeout_while(guard, WAIT_LIMIT, is_closed);
        drop(result.expect("the lock is not poisoned"));
    }
}

/// Event at a fake endpoint. Connections are numbered in the order in which they were accepted.
#[derive(Debug)]
pub enum EndpointEvent {
    /// Complete request, with the number of its connection.
    Request(usize, Message),
    /// End of the connection with this number.
    ConnectionEnded(usize),
    /// The endpoint has shut down the sending side or written the unsolicited bytes.
    WriteFinished,
}

/// Endpoint on a loopback socket.
pub struct FakeEndpoint {
    pub addr: SocketAddr,
    events: Receiver<EndpointEvent>,
    behaviour: Arc<Mutex<EndpointBehaviour>>,
}

impl FakeEndpoint {
    pub fn start(behaviour: EndpointBehaviour) -> Self {
        let (listener, addr) = listen();
        Self::start_on(listener, addr, behaviour)
    }

    pub(super) fn start_on(listener: TcpListener, addr: SocketAddr, behaviour: EndpointBehaviour) -> Self {
        let behaviour = Arc::new(Mutex::new(behaviour));
        let (event_sender, events) = channel();
        let current = behaviour.clone();
        accept_connections(listener, move |socket, connection| {
            serve_connection(&socket, connection, &current, &event_sender);
            drop(socket);
            let _ = event_sender.send(EndpointEvent::ConnectionEnded(connection));
        });
        Self { addr, events, behaviour }
    }

    /// Sets the behaviour for requests that arrive from now on.
    pub fn set_behaviour(&self, behaviour: EndpointBehaviour) {
        *self.behaviour.lock().expect("the lock is not poisoned") = behaviour;
    }

    /// Waits for the next request and returns it with the number of its connection; discards other events.
    pub fn next_request(&self) -> (usize, Message) {
        loop {
            if let EndpointEvent::Request(connection, message) =
                self.events.recv_timeout(WAIT_LIMIT).expect("a request")
            {
                return (connection, message);
            }
        }
    }

    /// Waits for an event that `matches`, and discards those before it.
    pub fn wait_for_event(&self, matches: impl Fn(&EndpointEvent) -> bool) {
        while !matches(&self.events.recv_timeout(WAIT_LIMIT).expect("the event")) {}
    }

    /// Returns the received requests that no earlier call has taken; discards other events.
    pub fn drain_requests(&self) -> Vec<Message> {
        let message =
            |event| if let EndpointEvent::Request(_, message) = event { Some(message) } else { None };
        self.events.try_iter().filter_map(message).collect()
    }
}

fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn serve_connection(
    mut socket: &TcpStream,
    connection: usize,
    behaviour: &Mutex<EndpointBehaviour>,
    events: &Sender<EndpointEvent>,
) {
    let mut reader = BufReader::new(socket);
    let mut has_responded = false;
    while let Some(message) = read_message(&mut reader) {
        let current = behaviour.lock().expect("the lock is not poisoned").clone();
        let _ = events.send(EndpointEvent::Request(connection, message));
        let response = match current {
            EndpointBehaviour::Respond(body) => ok_response(body),
            EndpointBehaviour::WriteRaw(text) => text.to_owned(),
            EndpointBehaviour::RespondThenWriteRaw(gate, unsolicited) => {
                let _ = socket.write_all(ok_response("asked").as_bytes());
                gate.wait();
                let _ = socket.write_all(unsolicited.as_bytes());
                let _ = events.send(EndpointEvent::WriteFinished);
                continue;
            }
            EndpointBehaviour::WriteRawInTwoParts(first, gate, second) => {
                let _ = socket.write_all(first.as_bytes());
                gate.wait();
                let _ = socket.write_all(second.as_bytes());
                return;
            }
            EndpointBehaviour::Close => return,
            EndpointBehaviour::RespondOnce if has_responded => return,
            EndpointBehaviour::RespondOnce => ok_response("once"),
            EndpointBehaviour::RespondThenShutDown => {
                let _ = socket.write_all(ok_response("last").as_bytes());
                let _ = socket.shutdown(Shutdown::Write);
                let _ = events.send(EndpointEvent::WriteFinished);
                let _ = socket.read(&mut [0]);
                return;
            }
            EndpointBehaviour::HoldUntilClosed => {
                let _ = reader.read(&mut [0]);
                return;
            }
            EndpointBehaviour::RespondAfter(gate) => {
                gate.wait();
                ok_response("waited")
            }
            EndpointBehaviour::CloseAfter(gate) => return gate.wait(),
        };
        if socket.write_all(response.as_bytes()).is_err() {
            return;
        }
        has_responded = true;
    }
}
