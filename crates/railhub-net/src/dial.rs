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
mod tests {
    use super::*;
    use crate::clock::now;

    #[test]
    fn a_peer_that_listens_refuses_or_says_nothing() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let open = listener.local_addr().expect("bound");
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
        // A backlog that is full drops what comes, as a machine that is cut off does.
        let deaf = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        deaf.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
        deaf.listen(0).expect("listens");
        let cut_off = deaf.local_addr().expect("bound").as_socket().expect("an address");
        let _fill: Vec<_> = (0..3)
            .map(|_| std::net::TcpStream::connect_timeout(&cut_off, std::time::Duration::from_millis(50)))
            .collect();
        crate::go(move || {
            assert!(dial(open, 1.0).is_ok());
            assert_eq!(dial(free, 1.0).expect_err("nobody listens").kind(), io::ErrorKind::ConnectionRefused);
            let began = now();
            assert_eq!(dial(cut_off, 0.2).expect_err("silent").kind(), io::ErrorKind::TimedOut);
            assert!((0.2..2.0).contains(&(now() - began)));
        })
        .join()
        .expect("all hold");
    }
}
