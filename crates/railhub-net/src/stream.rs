//! Framed streams over TCP.
use crate::deadline::Guard;
use may::io::{SplitIo, SplitReader, SplitWriter};
use may::net::TcpStream;
use prost::Message;
use railhub_proto::{frame, Deframer, FrameError};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::time::Duration;
use thiserror::Error;

/// Bytes read at once: on the coroutine's stack, so small.
const READ_AT_ONCE: usize = 2048;

/// Why a stream ended.
#[derive(Debug, Error)]
pub enum StreamEnd {
    #[error("closed by the peer")]
    Closed,
    #[error("silent for too long")]
    Silent,
    #[error(transparent)]
    Fault(#[from] FrameError),
    #[error("broken: {0}")]
    Broken(io::Error),
}

pub struct FrameReader {
    /// Before the socket, so that it ends first.
    guard: Option<Guard>,
    socket: SplitReader<TcpStream>,
    deframer: Deframer,
}

pub struct FrameWriter {
    /// Before the socket, so that it ends first.
    guard: Option<Guard>,
    socket: SplitWriter<TcpStream>,
}

/// The two ways of a connection; `limit`: bytes a message of the peer may have.
pub fn split(stream: TcpStream, limit: usize) -> io::Result<(FrameReader, FrameWriter)> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.split()?;
    Ok((
        FrameReader { guard: None, socket: reader, deframer: Deframer::new(limit) },
        FrameWriter { guard: None, socket: writer },
    ))
}

pub fn connect(address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    TcpStream::connect_timeout(&address, within)
}

/// Makes the connection end with a reset, as when a process dies with unread bytes.
pub fn reset(stream: &TcpStream) {
    let linger = libc::linger { l_onoff: 1, l_linger: 0 };
    let size = std::mem::size_of::<libc::linger>() as libc::socklen_t;
    // SAFETY: the descriptor is open while the stream lives, and the option is of the size told.
    unsafe {
        libc::setsockopt(
            stream.inner().as_raw_fd(),
            libc::SOL_SOCKET,
            libc::SO_LINGER,
            std::ptr::from_ref(&linger).cast(),
            size,
        );
    }
}

impl FrameReader {
    /// The next message; waits as long as the time set with [`FrameReader::patience`].
    pub fn receive<M: Message + Default>(&mut self) -> Result<M, StreamEnd> {
        loop {
            if let Some(message) = self.deframer.message()? {
                return Ok(message);
            }
            let mut bytes = [0; READ_AT_ONCE];
            let read = self.socket.read(&mut bytes);
            if self.guard.as_ref().is_some_and(Guard::fired) {
                return Err(StreamEnd::Silent);
            }
            match read {
                Ok(0) => {
                    self.deframer.finish()?;
                    return Err(StreamEnd::Closed);
                }
                Ok(read) => {
                    self.guard.iter().for_each(Guard::heard);
                    self.deframer.push(&bytes[..read]);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(StreamEnd::Broken(e)),
            }
        }
    }

    /// How long the peer may be silent, from now on; reading ends past it.
    pub fn patience(&mut self, span: Option<f64>) {
        self.guard = None;
        self.guard = span.map(|span| Guard::new(self.socket.inner_mut(), span));
    }
}

impl FrameWriter {
    pub fn send(&mut self, message: &impl Message) -> io::Result<()> {
        self.send_bytes(&frame(message))
    }

    /// Bytes that are frames already.
    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.guard.iter().for_each(Guard::heard);
        let sent = self.socket.write_all(bytes);
        self.guard.iter().for_each(Guard::rest);
        sent
    }

    /// How long one message may take, from now on, before both ways end. Not by the runtime's own time-out: its
    /// timers can fail when they are taken back while others run out.
    pub fn patience(&mut self, span: f64) {
        self.guard = None;
        let guard = Guard::both_ways(self.socket.inner_mut(), span);
        guard.rest();
        self.guard = Some(guard);
    }

    /// Ends both ways, so that the peer and our own reader see it.
    pub fn close(&mut self) {
        let _ = self.socket.inner_mut().shutdown(std::net::Shutdown::Both);
    }
}
