//! Relays datagrams between endpoints. Each endpoint has one public address, a socket of the relay. The relay
//! identifies the sender of a datagram by its source address.
use crate::endpoint::EndpointName;
use crate::link_controller::{Delivery, LinkController, ObservedDatagram};
use crate::send_queue::{QueuedDatagram, SendQueue};
use railhub_net::{now, seconds};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Largest payload of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// Endpoints, including unknown senders that were added on their first datagram (such as observers). The datagrams of
/// further unknown senders are dropped.
const MAX_ENDPOINTS: usize = 256;
/// Time between checks of whether the relay has stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest wait of the sending thread for the next departure time.
const MIN_WAIT: Duration = Duration::from_micros(50);

/// Called with every datagram that arrives at the relay, delivered or not.
pub type Tap = Box<dyn Fn(&ObservedDatagram) + Send + Sync>;

struct RelayedEndpoint {
    name: EndpointName,
    socket: Arc<UdpSocket>,
    /// Where its process listens; `None` while it does not run.
    real_address: Option<SocketAddr>,
}

struct Shared {
    link_controller: Arc<LinkController>,
    endpoints: Mutex<Vec<RelayedEndpoint>>,
    queue: Mutex<SendQueue>,
    queue_changed: Condvar,
    tap: Tap,
    stopped: AtomicBool,
}

/// The relay of all datagrams. Dropping it stops its threads.
pub struct UdpLinks {
    shared: Arc<Shared>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl UdpLinks {
    /// A relay without endpoints.
    pub fn open(link_controller: Arc<LinkController>, tap: Tap) -> UdpLinks {
        let shared = Arc::new(Shared {
            link_controller,
            endpoints: Mutex::default(),
            queue: Mutex::default(),
            queue_changed: Condvar::new(),
            tap,
            stopped: AtomicBool::new(false),
        });
        let sender_state = shared.clone();
        let sender_thread = std::thread::spawn(move || sender_state.send_due_datagrams());
        UdpLinks { shared, threads: Mutex::new(vec![sender_thread]) }
    }

    /// Adds an endpoint. Returns its public address, which stays the same when its process restarts.
    ///
    /// # Errors
    /// No socket can be opened.
    pub fn add(&self, name: &str) -> io::Result<SocketAddr> {
        let (index, public_address) = self.shared.add(name, None)?;
        let shared = self.shared.clone();
        let thread = std::thread::spawn(move || shared.receive(index));
        self.threads.lock().expect("no holder panics").push(thread);
        Ok(public_address)
    }

    /// Sets where an endpoint's process listens; `None` if it does not run.
    pub fn set_real_address(&self, name: &str, real_address: Option<SocketAddr>) {
        let mut endpoints = self.shared.endpoints.lock().expect("no holder panics");
        for endpoint in endpoints.iter_mut().filter(|endpoint| endpoint.name == name) {
            endpoint.real_address = real_address;
        }
    }

    /// Sends a datagram as if it came from an endpoint, bypassing all faults: an old one again, or a corrupt one.
    pub fn inject(&self, from: &str, to: &str, bytes: &[u8]) {
        let (from, to) = (self.shared.endpoint_index(from), self.shared.endpoint_index(to));
        if let (Some(from), Some(to)) = (from, to) {
            self.shared.send(&QueuedDatagram { from, to, bytes: bytes.to_vec() });
        }
    }
}

impl Drop for UdpLinks {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        self.shared.queue_changed.notify_all();
        for thread in self.threads.lock().expect("no holder panics").drain(..) {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn add(&self, name: &str, real_address: Option<SocketAddr>) -> io::Result<(usize, SocketAddr)> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        let public_address = socket.local_addr()?;
        let mut endpoints = self.endpoints.lock().expect("no holder panics");
        endpoints.push(RelayedEndpoint { name: name.to_owned(), socket: Arc::new(socket), real_address });
        Ok((endpoints.len() - 1, public_address))
    }

    fn endpoint_index(&self, name: &str) -> Option<usize> {
        let endpoints = self.endpoints.lock().expect("no holder panics");
        endpoints.iter().position(|endpoint| endpoint.name == name)
    }

    fn receive(self: &Arc<Shared>, to: usize) {
        let socket = self.endpoints.lock().expect("no holder panics")[to].socket.clone();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !self.stopped.load(Ordering::Acquire) {
            if let Ok((length, source)) = socket.recv_from(&mut buffer) {
                self.relay(source, to, &buffer[..length]);
            }
        }
    }

    fn relay(self: &Arc<Shared>, source: SocketAddr, to: usize, bytes: &[u8]) {
        let Some(from) = self.sender_index(source) else { return };
        let (from_name, to_name) = {
            let endpoints = self.endpoints.lock().expect("no holder panics");
            (endpoints[from].name.clone(), endpoints[to].name.clone())
        };
        let departures = self.link_controller.schedule(&from_name, &to_name, bytes.len());
        let delivery = if departures.is_empty() { Delivery::Dropped } else { Delivery::Delivered };
        (self.tap)(&ObservedDatagram { at: now(), from: &from_name, to: &to_name, bytes, delivery });
        let mut queue = self.queue.lock().expect("no holder panics");
        for at in departures {
            queue.push(at, QueuedDatagram { from, to, bytes: bytes.to_vec() });
        }
        self.queue_changed.notify_one();
    }

    /// The endpoint that sends from an address. An unknown sender is added as an endpoint, so that replies reach it;
    /// `None` if there are too many endpoints.
    fn sender_index(self: &Arc<Shared>, source: SocketAddr) -> Option<usize> {
        let count = {
            let endpoints = self.endpoints.lock().expect("no holder panics");
            let known = endpoints.iter().position(|endpoint| endpoint.real_address == Some(source));
            if known.is_some() {
                return known;
            }
            endpoints.len()
        };
        if count >= MAX_ENDPOINTS {
            return None;
        }
        let (index, _) = self.add(&format!("stranger {count}"), Some(source)).ok()?;
        // Replies arrive at its public address, which is read like any other until the relay stops. The thread is not
        // joined.
        let shared = self.clone();
        std::thread::spawn(move || shared.receive(index));
        Some(index)
    }

    fn send_due_datagrams(&self) {
        while !self.stopped.load(Ordering::Acquire) {
            let mut queue = self.queue.lock().expect("no holder panics");
            let next_at = queue.next_at();
            let wait = next_at.map_or(STOP_CHECK_INTERVAL, |at| seconds(at - now()).min(STOP_CHECK_INTERVAL));
            if next_at.is_some_and(|at| at <= now()) {
                let datagram = queue.pop();
                drop(queue);
                if let Some(datagram) = datagram {
                    self.send(&datagram);
                }
            } else {
                let _ = self.queue_changed.wait_timeout(queue, wait.max(MIN_WAIT));
            }
        }
    }

    /// Sends a datagram to its endpoint's process. The datagram is lost if that process does not run.
    fn send(&self, datagram: &QueuedDatagram) {
        let route = {
            let endpoints = self.endpoints.lock().expect("no holder panics");
            let real_address = endpoints[datagram.to].real_address;
            real_address.map(|address| (endpoints[datagram.from].socket.clone(), address))
        };
        if let Some((socket, address)) = route {
            let _ = socket.send_to(&datagram.bytes, address);
        }
    }
}
