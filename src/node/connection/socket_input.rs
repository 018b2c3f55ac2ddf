//! Detects pending input on a socket.

use socket2::SockRef;
use std::{io, mem::MaybeUninit};
use tokio::net::TcpStream;

/// Returns whether data, an end of stream or an error is pending on the socket. Peeks at the socket itself, because
/// tokio learns of new input only when it next polls the operating system.
pub fn has_input(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(socket).peek(&mut byte) {
        Ok(_) => true,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
