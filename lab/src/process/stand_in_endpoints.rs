//! Stand-ins for endpoints: they answer 200 at once on kept connections.

use super::{Error, http};
use std::{
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    thread,
};

/// Endpoints on one octet of the loopback network.
const ENDPOINTS_PER_OCTET: usize = 250;
/// The body of each answer.
const BODY: &str = "ok";

/// Any number of endpoints that share one listener: each has a loopback address of its own, and the listener takes
/// the connections to all of them. Connections from elsewhere are closed unread.
#[derive(Debug)]
pub struct StandInEndpoints {
    port: u16,
}

impl StandInEndpoints {
    /// Starts to listen on a free port. The threads end with the process.
    ///
    /// # Errors
    /// No socket can be had.
    pub fn start() -> Result<Self, Error> {
        let system = |error| Error::System("listening as workers", error);
        // Only the wildcard address takes connections to every loopback address.
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).map_err(system)?;
        let port = listener.local_addr().map_err(system)?.port();
        thread::spawn(move || accept(&listener));
        Ok(Self { port })
    }

    /// The address of an endpoint by its number.
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
    // Answers leave at once, also behind others that are not yet acknowledged.
    if socket.set_nodelay(true).is_err() {
        return;
    }
    let mut reader = BufReader::new(socket);
    let answer = http::ok_response(BODY);
    while let Ok(Some(_)) = http::read_message(&mut reader) {
        if socket.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
