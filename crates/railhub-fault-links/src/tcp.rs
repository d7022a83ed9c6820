//! Connections between endpoints: the relay accepts each, connects to the other endpoint itself, and relays both
//! directions.
use crate::endpoint::EndpointName;
use crate::link_controller::LinkController;
use railhub_net::{now, seconds};
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Size of the chunks that are relayed, at most.
const CHUNK_BYTES: usize = 16 * 1024;
/// Time between checks of whether the relay has stopped, a connection was reset, or a direction is still cut.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between checks for a new connection.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a lost chunk is sent again: a common minimum of TCP's retransmission timeout.
const RETRANSMISSION_TIMEOUT_SECONDS: f64 = 0.2;
/// Connections that may be open at once; further ones are closed, as by an overloaded host.
const MAX_CONNECTIONS: usize = 512;
/// Time limit for connecting to the other endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

struct Shared {
    link_controller: Arc<LinkController>,
    from: EndpointName,
    to: EndpointName,
    /// Where the endpoint `to` listens, if it does.
    target: Mutex<Option<SocketAddr>>,
    connections: Mutex<Vec<Connection>>,
    /// Connections that are being accepted or relayed.
    connection_count: AtomicUsize,
    stopped: AtomicBool,
}

/// One connection through the relay.
struct Connection {
    client: TcpStream,
    server: TcpStream,
    /// Tells the relaying threads to end, so that both sides are reset.
    reset: Arc<AtomicBool>,
}

/// The side of a connection that a relaying thread reads from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadSide {
    /// The endpoint that connected.
    Client,
    /// The endpoint that was connected to.
    Server,
}

/// A relay of connections from one endpoint to another. Dropping it ends its connections.
pub struct TcpLink {
    /// Where the relay listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl TcpLink {
    /// Relays connections of `from` to `to`, which listens at `target`; `None` if it does not listen yet.
    ///
    /// # Errors
    /// No port can be opened.
    pub fn open(
        link_controller: Arc<LinkController>,
        from: &str,
        to: &str,
        target: Option<SocketAddr>,
    ) -> io::Result<TcpLink> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            link_controller,
            from: from.to_owned(),
            to: to.to_owned(),
            target: Mutex::new(target),
            connections: Mutex::default(),
            connection_count: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        });
        let acceptor_state = shared.clone();
        let thread = std::thread::spawn(move || acceptor_state.accept(&listener));
        Ok(TcpLink { address, shared, thread: Some(thread) })
    }

    /// Sets where the other endpoint listens; `None` if it does not listen.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.shared.target.lock().expect("no holder panics") = target;
    }

    /// Resets all connections on both sides. Returns their number.
    pub fn reset(&self) -> usize {
        let connections = std::mem::take(&mut *self.shared.connections.lock().expect("no holder panics"));
        for connection in &connections {
            // With a linger time of 0 a socket is reset when its last handle is closed, here by the relaying threads,
            // which end on the flag. A shutdown before that would close the connection in order instead.
            for stream in [&connection.client, &connection.server] {
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            }
            connection.reset.store(true, Ordering::Release);
        }
        self.shared.link_controller.record_resets(&self.shared.from, &self.shared.to, connections.len());
        connections.len()
    }
}

impl Drop for TcpLink {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.reset();
    }
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    fn accept(self: &Arc<Shared>, listener: &TcpListener) {
        while !self.is_stopped() {
            match listener.accept() {
                Ok(_) if self.connection_count.load(Ordering::Acquire) >= MAX_CONNECTIONS => {}
                Ok((client, _)) => {
                    self.connection_count.fetch_add(1, Ordering::AcqRel);
                    let shared = self.clone();
                    std::thread::spawn(move || {
                        shared.connect_and_relay(client);
                        shared.connection_count.fetch_sub(1, Ordering::AcqRel);
                    });
                }
                Err(_) => std::thread::sleep(ACCEPT_POLL_INTERVAL),
            }
        }
    }

    fn is_cut(&self) -> bool {
        let link_controller = &self.link_controller;
        link_controller.faults(&self.from, &self.to).cut || link_controller.faults(&self.to, &self.from).cut
    }

    /// Connects to the other endpoint, once neither direction is cut, and relays until the connection ends.
    fn connect_and_relay(self: &Arc<Shared>, client: TcpStream) {
        let _ = client.set_nonblocking(false);
        while self.is_cut() {
            if self.is_stopped() {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        let target = *self.target.lock().expect("no holder panics");
        let server = target.and_then(|target| TcpStream::connect_timeout(&target, CONNECT_TIMEOUT).ok());
        let Some(server) = server else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let reset = Arc::new(AtomicBool::new(false));
        let (Ok(client_writer), Ok(server_reader)) = (client.try_clone(), server.try_clone()) else { return };
        self.register(&client, &server, &reset);
        let (shared, response_reset) = (self.clone(), reset.clone());
        let response_relay = std::thread::spawn(move || {
            shared.relay(server_reader, client_writer, ReadSide::Server, &response_reset)
        });
        self.relay(client, server, ReadSide::Client, &reset);
        let _ = response_relay.join();
    }

    /// Registers a connection, so that it can be reset, and removes those that have ended.
    fn register(&self, client: &TcpStream, server: &TcpStream, reset: &Arc<AtomicBool>) {
        let (Ok(client), Ok(server)) = (client.try_clone(), server.try_clone()) else { return };
        let mut connections = self.connections.lock().expect("no holder panics");
        // The relaying threads hold the flag until their connection ends.
        connections.retain(|connection| Arc::strong_count(&connection.reset) > 1);
        connections.push(Connection { client, server, reset: reset.clone() });
    }

    /// Relays one direction of a connection until it ends, is reset, or the relay stops.
    fn relay(&self, mut reader: TcpStream, mut writer: TcpStream, side: ReadSide, reset: &AtomicBool) {
        let (from, to) = match side {
            ReadSide::Client => (&self.from, &self.to),
            ReadSide::Server => (&self.to, &self.from),
        };
        let _ = (reader.set_read_timeout(Some(POLL_INTERVAL)), writer.set_write_timeout(Some(POLL_INTERVAL)));
        let mut chunk = vec![0; CHUNK_BYTES];
        while !self.is_stopped() {
            if reset.load(Ordering::Acquire) {
                return;
            }
            let length = match reader.read(&mut chunk) {
                Ok(0) => break,
                Ok(length) => length,
                Err(error) if is_timeout(&error) => continue,
                Err(_) => break,
            };
            if !self.wait_for_departure(from, to, length, reset)
                || !self.write(&mut writer, &chunk[..length], reset)
            {
                break;
            }
        }
        if !reset.load(Ordering::Acquire) {
            let _ = (reader.shutdown(Shutdown::Read), writer.shutdown(Shutdown::Write));
        }
    }

    /// Writes a complete chunk, however slowly the peer reads it. Returns false if the relay has stopped or the
    /// connection has ended.
    fn write(&self, writer: &mut TcpStream, chunk: &[u8], reset: &AtomicBool) -> bool {
        let mut written = 0;
        while written < chunk.len() {
            if self.is_stopped() || reset.load(Ordering::Acquire) {
                return false;
            }
            match writer.write(&chunk[written..]) {
                Ok(0) => return false,
                Ok(length) => written += length,
                Err(error) if is_timeout(&error) => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Holds a chunk until its direction lets it leave. Returns false if the relay has stopped or the connection is
    /// reset.
    fn wait_for_departure(&self, from: &str, to: &str, bytes: usize, reset: &AtomicBool) -> bool {
        loop {
            if self.is_stopped() || reset.load(Ordering::Acquire) {
                return false;
            }
            if let Some(at) = self.link_controller.schedule(from, to, bytes).first() {
                std::thread::sleep(seconds(at - now()));
                return true;
            }
            let is_cut = self.link_controller.faults(from, to).cut;
            std::thread::sleep(if is_cut { POLL_INTERVAL } else { seconds(RETRANSMISSION_TIMEOUT_SECONDS) });
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
