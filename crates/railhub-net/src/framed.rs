//! Streams of length-prefixed protobuf messages over TCP.
use crate::idle_timeout::IdleTimeout;
use may::io::{SplitIo, SplitReader, SplitWriter};
use may::net::TcpStream;
use prost::Message;
use railhub_proto::{frame, Deframer, FrameError};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsRawFd;
use std::time::Duration;
use thiserror::Error;

/// Bytes read at once: on the coroutine's stack, so small.
const READ_BUFFER_BYTES: usize = 2048;

/// Why a stream ended.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The peer closed it between two messages.
    #[error("closed by the peer")]
    Closed,
    /// The idle time-out expired.
    #[error("silent for too long")]
    IdleTimeout,
    /// The peer sent what is not a message, or closed in the middle of one.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Reading failed.
    #[error("broken: {0}")]
    Io(io::Error),
}

/// The reading half of a connection.
pub struct FrameReader {
    /// Before the socket, so that it is dropped first.
    idle_timeout: Option<IdleTimeout>,
    socket: SplitReader<TcpStream>,
    deframer: Deframer,
}

/// The writing half of a connection.
pub struct FrameWriter {
    /// Before the socket, so that it is dropped first.
    send_timeout: Option<IdleTimeout>,
    socket: SplitWriter<TcpStream>,
}

/// The two halves of a connection whose peer may send messages of at most `max_message_bytes` bytes.
///
/// # Errors
/// The error of the system if it cannot be split.
pub fn split_framed(stream: TcpStream, max_message_bytes: usize) -> io::Result<(FrameReader, FrameWriter)> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.split()?;
    Ok((
        FrameReader { idle_timeout: None, socket: reader, deframer: Deframer::new(max_message_bytes) },
        FrameWriter { send_timeout: None, socket: writer },
    ))
}

/// Connects by the runtime's own time-out; for emulated peers, which do so seldom (otherwise [`crate::dial`]).
///
/// # Errors
/// The error of the system, or `TimedOut`.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    TcpStream::connect_timeout(&address, timeout)
}

/// Makes the connection end with a reset when it is closed, as when a process dies with unread bytes.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = libc::linger { l_onoff: 1, l_linger: 0 };
    let size = std::mem::size_of::<libc::linger>() as libc::socklen_t;
    // SAFETY: the descriptor is open while the stream lives, and the option is of the size given.
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
    /// The next message; waits as long as [`FrameReader::set_idle_timeout`] allows.
    ///
    /// # Errors
    /// Why the stream ended; it is not to be read further.
    pub fn receive<M: Message + Default>(&mut self) -> Result<M, StreamError> {
        loop {
            if let Some(message) = self.deframer.message()? {
                return Ok(message);
            }
            self.read()?;
        }
    }

    fn read(&mut self) -> Result<(), StreamError> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let read = self.socket.read(&mut bytes);
        if self.idle_timeout.as_ref().is_some_and(IdleTimeout::has_expired) {
            return Err(StreamError::IdleTimeout);
        }
        match read {
            Ok(0) => {
                self.deframer.finish()?;
                Err(StreamError::Closed)
            }
            Ok(count) => {
                if let Some(timeout) = &self.idle_timeout {
                    timeout.restart();
                }
                self.deframer.push(&bytes[..count]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(error) => Err(StreamError::Io(error)),
        }
    }

    /// Sets for how many seconds the peer may be silent, from now on; reading ends past it.
    pub fn set_idle_timeout(&mut self, timeout: Option<f64>) {
        self.idle_timeout = None;
        self.idle_timeout = timeout.map(|timeout| IdleTimeout::read_half(self.socket.inner_mut(), timeout));
    }
}

impl FrameWriter {
    /// Writes one message.
    ///
    /// # Errors
    /// The error of the system, also once the send time-out has expired.
    pub fn send(&mut self, message: &impl Message) -> io::Result<()> {
        self.send_bytes(&frame(message))
    }

    /// Writes bytes that are frames already.
    ///
    /// # Errors
    /// As [`FrameWriter::send`].
    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        if let Some(timeout) = &self.send_timeout {
            timeout.restart();
        }
        let sent = self.socket.write_all(bytes);
        if let Some(timeout) = &self.send_timeout {
            timeout.suspend();
        }
        sent
    }

    /// Sets how many seconds one message may take, from now on, before both halves are shut down. Not by the
    /// runtime's own time-out: its timers can fail when they are cancelled while others run out.
    pub fn set_send_timeout(&mut self, timeout: f64) {
        self.send_timeout = None;
        let timeout = IdleTimeout::both_halves(self.socket.inner_mut(), timeout);
        timeout.suspend();
        self.send_timeout = Some(timeout);
    }

    /// Shuts down both halves, so that the peer and our own reader see it.
    pub fn close(&mut self) {
        let _ = self.socket.inner_mut().shutdown(Shutdown::Both);
    }
}
