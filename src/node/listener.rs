//! Takes over a listening socket for clients that the process inherits from the platform.

use socket2::SockRef;
use std::{
    fs, io,
    os::fd::{FromRawFd, RawFd},
};
use tokio::net::TcpListener;

/// Lowest descriptor that is not standard input, output or error.
const FIRST_NON_STANDARD_DESCRIPTOR: RawFd = 3;

/// Takes over the inherited listening socket `fd`. The platform holds the socket as well, so closing it here closes
/// only this process's copy.
///
/// # Errors
/// The descriptor is not that of a listening socket.
pub fn inherit_listener(fd: RawFd) -> io::Result<TcpListener> {
    // Checked before the takeover: a listener made of a descriptor that another part of the process owns would close
    // it when dropped.
    let link = fs::read_link(format!("/proc/self/fd/{fd}"))?;
    if fd < FIRST_NON_STANDARD_DESCRIPTOR || !link.to_string_lossy().starts_with("socket:") {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "NODE_ACCEPT_FD is not an inherited socket"));
    }
    // SAFETY: the descriptor is open, as checked above. It was inherited for this use only, so nothing else in the
    // process owns it.
    #[allow(unsafe_code)]
    let listener = unsafe { std::net::TcpListener::from_raw_fd(fd) };
    if !SockRef::from(&listener).is_listener()? {
        return Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            "the socket of NODE_ACCEPT_FD is not listening",
        ));
    }
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
