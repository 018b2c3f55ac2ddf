//! Asks the system whether a socket has input.

use socket2::SockRef;
use std::{io, mem::MaybeUninit};
use tokio::net::TcpStream;

/// Whether bytes, an end or an error are pending on the socket. The runtime learns of them only at its next turn, so
/// the system is asked.
pub fn has_input(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(socket).peek(&mut byte) {
        Ok(_) => true,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
