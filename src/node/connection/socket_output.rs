//! Detects output of a socket that its peer has not received.

use std::{ffi::c_int, os::fd::AsRawFd};
use tokio::net::TcpStream;

/// Returns whether the system still has bytes of this socket to send, or to send again. Returns false if the connection has
/// failed, or the system does not tell.
pub fn has_unsent_output(socket: &TcpStream) -> bool {
    if !matches!(socket.take_error(), Ok(None)) {
        return false;
    }
    let mut unacknowledged_bytes: c_int = 0;
    // SAFETY: the descriptor is open as long as the socket is borrowed, and the request writes one integer to the given
    // address, which is valid for the call.
    #[allow(unsafe_code)]
    let result = unsafe { libc::ioctl(socket.as_raw_fd(), libc::TIOCOUTQ, &raw mut unacknowledged_bytes) };
    result == 0 && unacknowledged_bytes > 0
}
