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

/// Size of the read buffer: small, as it is on the coroutine's stack.
const READ_BUFFER_BYTES: usize = 2048;

/// Why a stream ended. A controller sends the text to the proxy as the reason of its goodbye.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The peer closed the connection between two messages.
    #[error("closed by the peer")]
    Closed,
    /// The idle time-out expired.
    #[error("silent for too long")]
    IdleTimeout,
    /// The peer violated the framing, or closed the connection in the middle of a message.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Reading from the connection failed.
    #[error("broken: {0}")]
    Io(io::Error),
}

/// The reading half of a connection.
pub struct FrameReader {
    /// Declared before the socket, so that it is dropped first.
    idle_timeout: Option<IdleTimeout>,
    socket: SplitReader<TcpStream>,
    deframer: Deframer,
}

/// The writing half of a connection.
pub struct FrameWriter {
    /// Declared before the socket, so that it is dropped first.
    send_timeout: Option<IdleTimeout>,
    socket: SplitWriter<TcpStream>,
}

/// Splits a connection into its two halves. The peer may send messages of at most `max_message_bytes` bytes.
///
/// # Errors
/// The error of the system if the connection cannot be split.
pub fn split_framed(stream: TcpStream, max_message_bytes: usize) -> io::Result<(FrameReader, FrameWriter)> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.split()?;
    Ok((
        FrameReader { idle_timeout: None, socket: reader, deframer: Deframer::new(max_message_bytes) },
        FrameWriter { send_timeout: None, socket: writer },
    ))
}

/// Connects with the runtime's own time-out, for emulated peers, which connect rarely; elsewhere use [`crate::dial`].
///
/// # Errors
/// The error of the system, or `TimedOut`.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    TcpStream::connect_timeout(&address, timeout)
}

/// Makes closing the connection send a reset, as when a process dies with unread bytes. What has not been delivered is
/// discarded; after an ordinary close the kernel goes on delivering it.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = libc::linger { l_onoff: 1, l_linger: 0 };
    let size = std::mem::size_of::<libc::linger>() as libc::socklen_t;
    // SAFETY: the descriptor is open while `stream` exists, and the size is that of the option's value.
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
    /// Receives the next message; waits until the idle time-out set by [`FrameReader::set_idle_timeout`] expires.
    ///
    /// # Errors
    /// Why the stream ended. The reader must not be used after an error.
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

    /// Sets the idle time-out in seconds, which starts now, or removes it. After so long a silence of the peer, reading
    /// fails with [`StreamError::IdleTimeout`].
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

    /// Writes bytes that are encoded frames.
    ///
    /// # Errors
    /// As for [`FrameWriter::send`].
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

    /// Sets the time-out in seconds for sending one message; both halves are shut down when it expires. The runtime's
    /// own write time-out is not used, as its timers can fail when they are cancelled while others expire.
    pub fn set_send_timeout(&mut self, timeout: f64) {
        self.send_timeout = None;
        let timeout = IdleTimeout::both_halves(self.socket.inner_mut(), timeout);
        timeout.suspend();
        self.send_timeout = Some(timeout);
    }

    /// Shuts down both halves, so that the peer and the reader of this connection see the end of the stream.
    pub fn close(&mut self) {
        let _ = self.socket.inner_mut().shutdown(Shutdown::Both);
    }
}
