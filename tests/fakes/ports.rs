//! Listening sockets in several states: accepting, refusing connections, or with a full accept backlog.

use super::{EndpointBehaviour, FakeEndpoint, WAIT_LIMIT};
use socket2::{Domain, Socket, Type};
use std::{
    collections::BTreeSet,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Listens on a free loopback port.
pub(super) fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    (listener, addr)
}

/// Runs `serve` for each connection on a thread of its own; connections are numbered from 0.
pub(super) fn accept_connections(
    listener: TcpListener,
    serve: impl Fn(TcpStream, usize) + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for (number, socket) in listener.incoming().flatten().enumerate() {
            let serve = serve.clone();
            thread::spawn(move || serve(socket, number));
        }
    });
}

/// Returns the number of connections to `addr` that the system has not yet established.
fn pending_connections(addr: SocketAddr) -> usize {
    let socket_table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of sockets");
    count_pending_sockets(&socket_table, addr.port())
}

/// Counts the sockets of the table `/proc/net/tcp` that are still connecting to a loopback port. The table changes while
/// it is read and may then list a socket twice, so each local address counts once.
pub fn count_pending_sockets(socket_table: &str, port: u16) -> usize {
    // Remote address, then the state SYN_SENT.
    let remote = format!("0100007F:{port:04X} 02");
    let local_address = |line: &str| {
        let (_, fields) = line.split_once(": ")?;
        let (local, rest) = fields.split_once(' ')?;
        rest.starts_with(&remote).then(|| local.to_owned())
    };
    socket_table.lines().filter_map(local_address).collect::<BTreeSet<String>>().len()
}

/// Waits until exactly `count` connections to `addr` are pending.
pub fn wait_for_pending_connections(addr: SocketAddr, count: usize) {
    let start = Instant::now();
    while pending_connections(addr) != count {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "{} connections are pending, not {count}",
            pending_connections(addr)
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns an IPv4 socket that is bound to a free loopback port and does not listen yet.
fn bound_socket(reuse_address: bool) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("an open socket");
    if reuse_address {
        socket.set_reuse_address(true).expect("an open socket");
    }
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any_port.into()).expect("a free port");
    socket
}

/// Listener whose accept backlog of one is full: further connections stay pending until the backlog is freed.
pub struct SaturatedListener {
    pub addr: SocketAddr,
    listener: TcpListener,
    backlog_connection: TcpStream,
}

impl SaturatedListener {
    pub fn start() -> Self {
        // The address is reusable, so that a test may close the listener and listen there again.
        let socket = bound_socket(true);
        socket.listen(0).expect("a listener");
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr().expect("bound");
        let backlog_connection = TcpStream::connect(addr).expect("the connection that fills the backlog");
        Self { addr, listener, backlog_connection }
    }

    /// Waits until exactly `count` connections are pending, the one in the backlog not counted.
    pub fn wait_for_pending_connections(&self, count: usize) {
        wait_for_pending_connections(self.addr, count);
    }

    /// Waits until the gateway has abandoned all pending connections, though none has been established.
    pub fn wait_until_abandoned(&self) {
        wait_for_pending_connections(self.addr, 0);
    }

    /// Like [`into_endpoint`](Self::into_endpoint), but requires one pending connection and waits until it is
    /// established.
    pub fn into_endpoint_for_pending_connection(self, behaviour: EndpointBehaviour) -> FakeEndpoint {
        assert_eq!(pending_connections(self.addr), 1, "number of pending connections");
        let endpoint = self.into_endpoint(behaviour);
        wait_for_pending_connections(endpoint.addr, 0);
        endpoint
    }

    /// Frees the backlog and returns the listener, which accepts connections only if the caller does.
    pub fn into_listener(self) -> TcpListener {
        drop(self.backlog_connection);
        self.listener.accept().expect("the connection that filled the backlog");
        self.listener
    }

    /// Frees the backlog and returns an endpoint that serves connections with `behaviour`.
    pub fn into_endpoint(self, behaviour: EndpointBehaviour) -> FakeEndpoint {
        drop(self.backlog_connection);
        FakeEndpoint::start_on(self.listener, self.addr, behaviour)
    }
}

/// Bound port that does not listen: connections are refused, and no other process can take the port.
pub struct ReservedPort {
    pub addr: SocketAddr,
    socket: Socket,
}

impl ReservedPort {
    pub fn new() -> Self {
        let socket = bound_socket(false);
        let addr = socket.local_addr().expect("bound").as_socket().expect("an address");
        Self { addr, socket }
    }

    /// Starts to listen on the port.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(128).expect("a listener");
        self.socket.into()
    }
}
