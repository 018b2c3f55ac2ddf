//! The clients' listening socket, where the platform holds it.

use socket2::SockRef;
use std::{
    fs, io,
    os::fd::{FromRawFd, RawFd},
};
use tokio::net::TcpListener;

/// Takes over the listening socket that the platform holds. Closing it closes this process's copy only.
///
/// # Errors
/// The descriptor is none of a listening socket.
pub fn inherited(fd: RawFd) -> io::Result<TcpListener> {
    // An error, not a closed descriptor of somebody else's, where the variable names no socket.
    let link = fs::read_link(format!("/proc/self/fd/{fd}"))?;
    if fd < 3 || !link.to_string_lossy().starts_with("socket:") {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "NODE_ACCEPT_FD names no socket"));
    }
    // SAFETY: it is open (seen above), was inherited for this use alone, and nothing else here owns it.
    #[allow(unsafe_code)]
    let listener = unsafe { std::net::TcpListener::from_raw_fd(fd) };
    if !SockRef::from(&listener).is_listener()? {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "NODE_ACCEPT_FD does not listen"));
    }
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
