//! Listening sockets in the states that a gateway may meet: free, closed, or with a full accept backlog.

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

/// Runs `serve` on a thread of its own for each connection, with the connection's number.
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

/// Number of connections to `addr` that the system has not yet established.
fn pending_connections(addr: SocketAddr) -> usize {
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of sockets");
    pending_in(&sockets, addr.port())
}

/// Number of sockets in the system's table that are still connecting to a loopback port. The table changes while it is
/// read and may then list a socket twice, so sockets are told apart by their local addresses.
pub fn pending_in(sockets: &str, port: u16) -> usize {
    // Remote address, then the state SYN_SENT.
    let remote = format!("0100007F:{port:04X} 02");
    let local_address = |line: &str| {
        let (_, fields) = line.split_once(": ")?;
        let (local, rest) = fields.split_once(' ')?;
        rest.starts_with(&remote).then(|| local.to_owned())
    };
    sockets.lines().filter_map(local_address).collect::<BTreeSet<String>>().len()
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

/// A bound IPv4 socket on a free loopback port that does not listen yet.
fn bound_socket(reuse_address: bool) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    if reuse_address {
        socket.set_reuse_address(true).expect("a socket");
    }
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any_port.into()).expect("a free port");
    socket
}

/// A listener whose accept backlog of one is full: connections to it stay pending until it is opened.
pub struct SaturatedListener {
    pub addr: SocketAddr,
    listener: TcpListener,
    backlog_connection: TcpStream,
}

impl SaturatedListener {
    pub fn start() -> Self {
        // Reusable, so that a test may close it and listen on the same address again.
        let socket = bound_socket(true);
        socket.listen(0).expect("a listener");
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr().expect("bound");
        let backlog_connection = TcpStream::connect(addr).expect("the connection that fits");
        Self { addr, listener, backlog_connection }
    }

    /// Waits until exactly `count` connections are pending.
    pub fn wait_for_pending_connections(&self, count: usize) {
        wait_for_pending_connections(self.addr, count);
    }

    /// Waits until the gateway has abandoned all pending connections, though none has been established.
    pub fn wait_until_abandoned(&self) {
        wait_for_pending_connections(self.addr, 0);
    }

    /// Lets the one pending connection be established, and waits until it is.
    pub fn open_to_pending(self, behaviour: EndpointBehaviour) -> FakeEndpoint {
        assert_eq!(pending_connections(self.addr), 1, "connections are pending");
        let endpoint = self.open(behaviour);
        wait_for_pending_connections(endpoint.addr, 0);
        endpoint
    }

    /// Lets connections be established from now on, and accepts none itself.
    pub fn into_listener(self) -> TcpListener {
        drop(self.backlog_connection);
        self.listener.accept().expect("the connection that fitted");
        self.listener
    }

    /// Lets connections be established from now on, and serves them.
    pub fn open(self, behaviour: EndpointBehaviour) -> FakeEndpoint {
        drop(self.backlog_connection);
        FakeEndpoint::start_on(self.listener, self.addr, behaviour)
    }
}

/// A port that is bound, so that nobody else takes it, but does not listen: connections are refused.
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

    /// Starts to listen.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(128).expect("a listener");
        self.socket.into()
    }
}
