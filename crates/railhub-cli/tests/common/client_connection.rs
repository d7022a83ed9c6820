//! A scripted visitor of a steward: what it asked, what it is owed, and what it got.
use super::sockets::{self, controller_socket};
use super::{eventually, framed, Controller, EVENT_TIMEOUT};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Within this span a connection must join or is closed.
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

/// Returns once the steward has accepted the connections and read the bytes that came before: its one worker takes
/// events in their order, and this is a later one. On a busy machine a ping may come only after the time to join of its
/// connection has run out, which is then closed: another one is sent.
pub fn wait_until_input_read(controller: &Controller) {
    let is_answered = (0..MAX_JOIN_ATTEMPTS).any(|_| controller.try_ping());
    assert!(is_answered, "a ping is answered");
}

/// How a connection ended, with the bytes that came before.
pub struct ConnectionEnd {
    pub answers: Vec<u8>,
    pub is_reset: bool,
    /// Since the connection was asked for.
    pub after: Duration,
}

pub struct ClientConnection {
    pub stream: TcpStream,
    opened: Instant,
    is_collector: bool,
    /// Pings written whole, and those answered.
    pings: usize,
    pongs: usize,
    /// A write has found the connection reset, which the kernel tells once.
    is_reset: bool,
}

impl ClientConnection {
    /// A connection that the steward may not have accepted yet.
    pub fn connect(controller: &Controller) -> ClientConnection {
        let opened = Instant::now();
        let stream = TcpStream::connect(controller.listen).expect("it listens");
        stream.set_nodelay(true).expect("an option");
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a time");
        stream.set_write_timeout(Some(EVENT_TIMEOUT)).expect("a time");
        ClientConnection { stream, opened, is_collector: false, pings: 0, pongs: 0, is_reset: false }
    }

    /// An accepted connection that has sent nothing.
    pub fn unidentified(controller: &Controller) -> ClientConnection {
        let line = ClientConnection::connect(controller);
        wait_until_input_read(controller);
        line
    }

    /// An accepted connection that has joined as the collector of a zone. On a busy machine the time to join may run out
    /// before the frame is read: then the connection is given up for another one.
    pub fn collector(controller: &Controller, zone: &str) -> ClientConnection {
        for _ in 0..MAX_JOIN_ATTEMPTS {
            let mut line = ClientConnection::unidentified(controller);
            line.is_collector = true;
            let is_written = line.write(&collector_frame(zone));
            wait_until_input_read(controller);
            if is_written && line.opened.elapsed() < JOIN_TIMEOUT {
                return line;
            }
        }
        panic!("no collector has joined in time in {MAX_JOIN_ATTEMPTS} attempts");
    }

    /// Writes a piece of a message; a connection that was closed meanwhile shows when it is read.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        let fault = self.stream.write_all(bytes).err().map(|fault| fault.kind());
        self.is_reset |= fault == Some(ErrorKind::ConnectionReset);
        fault.is_none()
    }

    pub fn write_pings(&mut self, count: usize) -> bool {
        self.pings += count;
        self.write(&ping_frame().repeat(count))
    }

    /// Completes a ping of which a part was written.
    pub fn finish_ping(&mut self, rest: &[u8]) -> bool {
        self.pings += 1;
        self.write(rest)
    }

    /// Writes pings without reading until answers stand in the steward's send buffer, or the connection is closed.
    pub fn fill_send_buffer(&mut self) {
        const PINGS_PER_WRITE: usize = 1024;
        const MIN_BLOCKED_BYTES: usize = 8192;
        const MAX_POLLS: usize = 30;
        let owed_to = |pings: usize| framed(PONG).len() * pings;
        sockets::fix_receive_buffer_size(&self.stream);
        while self.write_pings(PINGS_PER_WRITE) {
            let missing = || owed_to(self.pings) - sockets::unread_bytes(&self.stream);
            let come = || {
                (0..MAX_POLLS).any(|_| (missing() < MIN_BLOCKED_BYTES, std::thread::sleep(POLL_INTERVAL)).0)
            };
            let mut is_blocked = false;
            eventually("answers come or are blocked", || {
                let is_coming = come();
                // The kernel's table is long on a busy machine, so it is read last.
                is_blocked = !is_coming
                    && controller_socket(&self.stream)
                        .is_none_or(|end| end.unsent >= MIN_BLOCKED_BYTES && end.unread == 0);
                is_coming || is_blocked
            });
            if is_blocked {
                return;
            }
        }
    }

    /// Reads the answers to all pings that were written.
    pub fn receives_pongs(&mut self) -> bool {
        let owed = framed(PONG).repeat(self.pings - self.pongs);
        let mut answers = vec![0; owed.len()];
        let is_whole = self.stream.read_exact(&mut answers).is_ok() && answers == owed;
        self.pongs = self.pings;
        is_whole
    }

    pub fn ping(&mut self) -> bool {
        self.write_pings(1) && self.receives_pongs()
    }

    pub fn shutdown_write(&self) {
        // It fails if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Reads until the connection ends; silence is a failure.
    pub fn wait_for_close(mut self) -> ConnectionEnd {
        let mut answers = Vec::new();
        let result = self.stream.read_to_end(&mut answers);
        let fault = result.err().map(|fault| fault.kind());
        let is_silent = matches!(fault, Some(ErrorKind::WouldBlock | ErrorKind::TimedOut));
        assert!(!is_silent, "neither an answer nor a close");
        let owed = framed(PONG).repeat(self.pings - self.pongs);
        assert!(owed.starts_with(&answers), "{} bytes that nobody asked for", answers.len());
        let is_reset = self.is_reset || fault == Some(ErrorKind::ConnectionReset);
        ConnectionEnd { answers, is_reset, after: self.opened.elapsed() }
    }

    /// Reads until the connection ends: every answer came, unless the time to join had run out.
    pub fn assert_answered_or_expired(self) {
        let owed = framed(PONG).len() * (self.pings - self.pongs);
        let may_be_closed = !self.is_collector;
        let end = self.wait_for_close();
        let is_answered = end.answers.len() == owed && !end.is_reset;
        let is_expired = may_be_closed && end.after >= JOIN_TIMEOUT;
        assert!(is_answered || is_expired, "{} of {owed} bytes after {:?}", end.answers.len(), end.after);
    }

    /// A ping is answered, or the time to join has run out and the connection is closed.
    pub fn assert_continues(mut self) {
        if self.is_collector {
            assert!(self.receives_pongs() && self.ping(), "a collector's connection stays");
        } else {
            self.shutdown_write();
            self.assert_answered_or_expired();
        }
    }
}
