//! A client of a controller that sends what a test scripts, and counts the pings it sent and the pongs it received.
use super::sockets::{self, controller_socket};
use super::{eventually, framed, Controller, EVENT_TIMEOUT};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// The controller closes a connection that has not joined within this time.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_JOIN_ATTEMPTS: usize = 20;
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const PONG: &str = r#"{"t":"pong"}"#;

pub fn ping_frame() -> Vec<u8> {
    framed(r#"{"t":"ping"}"#)
}

pub fn collector_frame(zone: &str) -> Vec<u8> {
    framed(&format!(r#"{{"t":"collector","zone":"{zone}"}}"#))
}

/// Waits until the controller has accepted all connections and read all bytes that arrived before this call. Its only
/// worker thread handles events in order of arrival, so a ping that is sent now is answered after them. On a busy
/// machine the connection of the ping may reach its join timeout before the ping arrives, and is closed. Another ping
/// is sent then.
pub fn wait_until_input_read(controller: &Controller) {
    let is_answered = (0..MAX_JOIN_ATTEMPTS).any(|_| controller.try_ping());
    assert!(is_answered, "none of {MAX_JOIN_ATTEMPTS} pings was answered");
}

/// How a connection ended, with the bytes received before.
pub struct ConnectionEnd {
    pub received: Vec<u8>,
    pub is_reset: bool,
    /// Time since the connection was requested.
    pub elapsed: Duration,
}

pub struct ClientConnection {
    pub stream: TcpStream,
    opened: Instant,
    is_collector: bool,
    /// Pings that were written completely.
    pings_sent: usize,
    pongs_received: usize,
    /// A write failed because the connection was reset; the kernel reports this once.
    is_reset: bool,
}

impl ClientConnection {
    /// A connection that the controller may not have accepted yet.
    pub fn connect(controller: &Controller) -> ClientConnection {
        let opened = Instant::now();
        let stream = TcpStream::connect(controller.listen).expect("the controller listens");
        stream.set_nodelay(true).expect("socket option is set");
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("timeout is set");
        stream.set_write_timeout(Some(EVENT_TIMEOUT)).expect("timeout is set");
        ClientConnection {
            stream,
            opened,
            is_collector: false,
            pings_sent: 0,
            pongs_received: 0,
            is_reset: false,
        }
    }

    /// An accepted connection that has sent nothing.
    pub fn unidentified(controller: &Controller) -> ClientConnection {
        let connection = ClientConnection::connect(controller);
        wait_until_input_read(controller);
        connection
    }

    /// An accepted connection that has joined as the collector of a zone. On a busy machine the join timeout may expire
    /// before the frame is read; another connection is opened then.
    pub fn collector(controller: &Controller, zone: &str) -> ClientConnection {
        for _ in 0..MAX_JOIN_ATTEMPTS {
            let mut connection = ClientConnection::unidentified(controller);
            connection.is_collector = true;
            let is_written = connection.write(&collector_frame(zone));
            wait_until_input_read(controller);
            if is_written && connection.opened.elapsed() < JOIN_TIMEOUT {
                return connection;
            }
        }
        panic!("no collector joined within {JOIN_TIMEOUT:?} in {MAX_JOIN_ATTEMPTS} attempts");
    }

    /// Writes a message or a part of it. Returns whether all bytes were written; if not, the connection has been
    /// closed, and the next read shows how.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        let error = self.stream.write_all(bytes).err().map(|error| error.kind());
        self.is_reset |= error == Some(ErrorKind::ConnectionReset);
        error.is_none()
    }

    pub fn write_pings(&mut self, count: usize) -> bool {
        self.pings_sent += count;
        self.write(&ping_frame().repeat(count))
    }

    /// Writes the rest of a ping that was sent in part.
    pub fn finish_ping(&mut self, rest: &[u8]) -> bool {
        self.pings_sent += 1;
        self.write(rest)
    }

    /// Writes pings without reading until responses wait in the controller's send buffer, or the connection is closed.
    pub fn fill_send_buffer(&mut self) {
        const PINGS_PER_WRITE: usize = 1024;
        /// The responses are blocked if at least this many bytes of them stay at the controller.
        const MIN_BLOCKED_BYTES: usize = 8192;
        const MAX_POLLS: usize = 30;
        let response_bytes = |pings: usize| framed(PONG).len() * pings;
        sockets::fix_receive_buffer_size(&self.stream);
        while self.write_pings(PINGS_PER_WRITE) {
            let missing_bytes = || response_bytes(self.pings_sent) - sockets::unread_bytes(&self.stream);
            let responses_arrive = || {
                (0..MAX_POLLS)
                    .any(|_| (missing_bytes() < MIN_BLOCKED_BYTES, std::thread::sleep(POLL_INTERVAL)).0)
            };
            let mut is_blocked = false;
            eventually("responses arrive or are blocked", || {
                let are_arriving = responses_arrive();
                // Checked last, because reading the kernel's table of connections is slow on a busy machine. A
                // connection that the controller has closed counts as blocked.
                is_blocked = !are_arriving
                    && controller_socket(&self.stream)
                        .is_none_or(|socket| socket.unsent >= MIN_BLOCKED_BYTES && socket.unread == 0);
                are_arriving || is_blocked
            });
            if is_blocked {
                return;
            }
        }
    }

    /// Reads the responses to all pings that were written; whether they are complete.
    pub fn receives_pongs(&mut self) -> bool {
        let expected = framed(PONG).repeat(self.pings_sent - self.pongs_received);
        let mut received = vec![0; expected.len()];
        let is_complete = self.stream.read_exact(&mut received).is_ok() && received == expected;
        self.pongs_received = self.pings_sent;
        is_complete
    }

    pub fn ping(&mut self) -> bool {
        self.write_pings(1) && self.receives_pongs()
    }

    pub fn shutdown_write(&self) {
        // Fails if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Reads until the controller closes or resets the connection; a timeout fails the test.
    pub fn wait_for_close(mut self) -> ConnectionEnd {
        let mut received = Vec::new();
        let result = self.stream.read_to_end(&mut received);
        let error = result.err().map(|error| error.kind());
        let timed_out = matches!(error, Some(ErrorKind::WouldBlock | ErrorKind::TimedOut));
        assert!(!timed_out, "neither a response nor a close within {EVENT_TIMEOUT:?}");
        let expected = framed(PONG).repeat(self.pings_sent - self.pongs_received);
        assert!(
            expected.starts_with(&received),
            "received {} bytes that are not responses to the pings sent",
            received.len()
        );
        let is_reset = self.is_reset || error == Some(ErrorKind::ConnectionReset);
        ConnectionEnd { received, is_reset, elapsed: self.opened.elapsed() }
    }

    /// Reads until the connection is closed. All responses must have arrived, unless the join timeout had expired.
    pub fn assert_answered_or_expired(self) {
        let expected_bytes = framed(PONG).len() * (self.pings_sent - self.pongs_received);
        let may_expire = !self.is_collector;
        let end = self.wait_for_close();
        let is_answered = end.received.len() == expected_bytes && !end.is_reset;
        let is_expired = may_expire && end.elapsed >= JOIN_TIMEOUT;
        assert!(
            is_answered || is_expired,
            "received {} of {expected_bytes} bytes within {:?}",
            end.received.len(),
            end.elapsed
        );
    }

    /// Asserts that the controller answers all pings, or has closed a connection that did not join in time.
    pub fn assert_served_or_expired(mut self) {
        if self.is_collector {
            assert!(self.receives_pongs() && self.ping(), "a collector got no response");
        } else {
            self.shutdown_write();
            self.assert_answered_or_expired();
        }
    }
}
