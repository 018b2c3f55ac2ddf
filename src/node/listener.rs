//! The clients' listening socket, where the platform holds it and hands it down.

use socket2::SockRef;
use std::{
    fs, io,
    os::fd::{FromRawFd, RawFd},
};
use tokio::net::TcpListener;

/// The first descriptor beside standard input, output and error.
const FIRST_FREE_DESCRIPTOR: RawFd = 3;

/// Takes over the listening socket that the platform holds. Closing it closes this process's copy only.
///
/// # Errors
/// The descriptor is not that of a listening socket.
pub fn inherit_listener(fd: RawFd) -> io::Result<TcpListener> {
    // Checked first: to take over a descriptor that another part of the process owns would close it.
    let link = fs::read_link(format!("/proc/self/fd/{fd}"))?;
    if fd < FIRST_FREE_DESCRIPTOR || !link.to_string_lossy().starts_with("socket:") {
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
