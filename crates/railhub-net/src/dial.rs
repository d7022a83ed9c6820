//! Outbound connections that do without the runtime's timers, which can fail when many are cancelled (see `timer`).
use crate::idle_timeout::IdleTimeout;
use may::io::WaitIo;
use may::net::TcpStream;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};

/// Connects within `timeout` seconds: a machine that is cut off from the network does not even refuse.
///
/// # Errors
/// `TimedOut` when the time-out has expired, otherwise the error of the system.
pub fn dial(address: SocketAddr, timeout: f64) -> io::Result<TcpStream> {
    let stream = begin_connecting(address)?;
    let timeout = IdleTimeout::both_halves(&stream, timeout);
    loop {
        // The expiry is checked first, as the shutdown by the time-out leaves an error on the socket.
        if timeout.has_expired() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if let Some(error) = stream.take_error()? {
            return Err(error);
        }
        if stream.peer_addr().is_ok() {
            return Ok(stream);
        }
        stream.wait_io();
    }
}

fn begin_connecting(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => return Err(error),
        _ => {}
    }
    // SAFETY: the descriptor is open and has no other owner.
    Ok(unsafe { TcpStream::from_raw_fd(socket.into_raw_fd()) })
}

#[cfg(test)]
mod tests;
