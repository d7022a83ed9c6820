//! Connections made without the runtime's timers, which can fail when many are taken back (see `deadline`).
use crate::deadline::Guard;
use may::io::WaitIo;
use may::net::TcpStream;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};

/// Connects, or fails after a span: a machine that is cut off says nothing at all.
pub fn dial(address: SocketAddr, within: f64) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.raw_os_error() != Some(libc::EINPROGRESS) => return Err(e),
        _ => {}
    }
    // SAFETY: the descriptor is open and has no other owner.
    let stream = unsafe { TcpStream::from_raw_fd(socket.into_raw_fd()) };
    let guard = Guard::both_ways(&stream, within);
    loop {
        // The guard's shutdown leaves an error of its own on the socket, so it is asked first.
        if guard.fired() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if let Some(fault) = stream.take_error()? {
            return Err(fault);
        }
        if stream.peer_addr().is_ok() {
            return Ok(stream);
        }
        stream.wait_io();
    }
}

#[cfg(test)]
mod tests;
