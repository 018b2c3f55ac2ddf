//! Stand-ins for endpoints, which respond with status 200 at once on persistent connections.

use super::{Error, http};
use std::{
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    thread,
};

/// Number of values that an octet of the endpoints' loopback addresses takes.
const ENDPOINTS_PER_OCTET: usize = 250;
/// Body of each response.
const RESPONSE_BODY: &str = "ok";

/// Endpoints that share one listener. Each endpoint has a loopback address of its own, and the listener accepts the
/// connections to all of these addresses. Connections from other machines are closed unread.
#[derive(Debug)]
pub struct StandInEndpoints {
    port: u16,
}

impl StandInEndpoints {
    /// Listens on a free port. The threads run until the process ends.
    ///
    /// # Errors
    /// No socket can be opened.
    pub fn start() -> Result<Self, Error> {
        let listen_error = Error::io("listening as the endpoints");
        // Only the wildcard address accepts connections to every loopback address.
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).map_err(&listen_error)?;
        let port = listener.local_addr().map_err(&listen_error)?.port();
        thread::spawn(move || accept(&listener));
        Ok(Self { port })
    }

    /// Returns the address of the endpoint with this number.
    pub fn address(&self, number: usize) -> SocketAddr {
        let second = 1 + number / (ENDPOINTS_PER_OCTET * ENDPOINTS_PER_OCTET);
        let third = number / ENDPOINTS_PER_OCTET % ENDPOINTS_PER_OCTET;
        let fourth = 1 + number % ENDPOINTS_PER_OCTET;
        SocketAddrV4::new(Ipv4Addr::new(127, second as u8, third as u8, fourth as u8), self.port).into()
    }
}

fn accept(listener: &TcpListener) {
    for socket in listener.incoming().flatten() {
        if socket.peer_addr().is_ok_and(|peer| peer.ip().is_loopback()) {
            thread::spawn(move || serve(&socket));
        }
    }
}

fn serve(mut socket: &TcpStream) {
    // Without this option, a response is held back until the client has acknowledged the previous one.
    if socket.set_nodelay(true).is_err() {
        return;
    }
    let mut reader = BufReader::new(socket);
    let response = http::ok_response(RESPONSE_BODY);
    while let Ok(Some(_)) = http::read_message(&mut reader) {
        if socket.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}
