//! Datagrams between ends. Each end has one public address, a socket of the relay; who sent a datagram is known by
//! the address that it came from.
use crate::board::{Board, Crossing, Fate};
use crate::End;
use railhub_net::{now, seconds};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Bytes of a datagram at the most.
const BYTES_MOST: usize = 65_507;
/// Ends, of which those that nobody named (lookers, strangers) are some: further strangers are not let in.
const ENDS_MOST: usize = 256;
/// Datagrams that wait at once: further ones are dropped, as by a full switch.
const WAITING_MOST: usize = 100_000;
/// Between looks at whether the relay has ended.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Sees every datagram that comes to the relay, whatever becomes of it.
pub type Tap = Box<dyn Fn(&Crossing) + Send + Sync>;

struct Place {
    name: End,
    socket: Arc<UdpSocket>,
    /// Where its process listens, once that is known.
    real: Option<SocketAddr>,
}

struct Waiting {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct Queue {
    order: BinaryHeap<Reverse<(u64, u64)>>,
    waiting: BTreeMap<u64, Waiting>,
    last: u64,
}

struct Shared {
    board: Arc<Board>,
    places: Mutex<Vec<Place>>,
    queue: Mutex<Queue>,
    more: Condvar,
    tap: Tap,
    ended: AtomicBool,
}

/// The relay; dropping it ends its threads.
pub struct UdpLinks {
    shared: Arc<Shared>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl UdpLinks {
    pub fn open(board: Arc<Board>, tap: Tap) -> UdpLinks {
        let shared = Arc::new(Shared {
            board,
            places: Mutex::default(),
            queue: Mutex::default(),
            more: Condvar::new(),
            tap,
            ended: AtomicBool::new(false),
        });
        let sending = shared.clone();
        let sender = std::thread::spawn(move || sending.send_when_due());
        UdpLinks { shared, threads: Mutex::new(vec![sender]) }
    }

    /// A new end; its public address, which does not change while its process comes and goes.
    pub fn add(&self, name: &str) -> io::Result<SocketAddr> {
        let (place, public) = self.shared.add(name, None)?;
        let shared = self.shared.clone();
        let thread = std::thread::spawn(move || shared.receive(place));
        self.threads.lock().expect("no holder panics").push(thread);
        Ok(public)
    }

    /// Where an end's process listens now; `None`: nowhere.
    pub fn place(&self, name: &str, real: Option<SocketAddr>) {
        let mut places = self.shared.places.lock().expect("no holder panics");
        places.iter_mut().filter(|place| place.name == name).for_each(|place| place.real = real);
    }

    /// Sends something as if it came from an end, past its way: an old datagram again, or a spoilt one.
    pub fn inject(&self, from: &str, to: &str, bytes: &[u8]) {
        let (from, to) = (self.shared.find(from), self.shared.find(to));
        if let (Some(from), Some(to)) = (from, to) {
            self.shared.emit(&Waiting { from, to, bytes: bytes.to_vec() });
        }
    }
}

impl Drop for UdpLinks {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Release);
        self.shared.more.notify_all();
        for thread in self.threads.lock().expect("no holder panics").drain(..) {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn add(&self, name: &str, real: Option<SocketAddr>) -> io::Result<(usize, SocketAddr)> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_read_timeout(Some(LOOK_EVERY))?;
        let public = socket.local_addr()?;
        let mut places = self.places.lock().expect("no holder panics");
        places.push(Place { name: name.to_owned(), socket: Arc::new(socket), real });
        Ok((places.len() - 1, public))
    }

    fn find(&self, name: &str) -> Option<usize> {
        self.places.lock().expect("no holder panics").iter().position(|place| place.name == name)
    }

    fn receive(self: &Arc<Shared>, to: usize) {
        let socket = self.places.lock().expect("no holder panics")[to].socket.clone();
        let mut bytes = vec![0; BYTES_MOST];
        while !self.ended.load(Ordering::Acquire) {
            if let Ok((length, source)) = socket.recv_from(&mut bytes) {
                self.take(source, to, &bytes[..length]);
            }
        }
    }

    fn take(self: &Arc<Shared>, source: SocketAddr, to: usize, bytes: &[u8]) {
        let Some(from) = self.who(source) else { return };
        let names = {
            let places = self.places.lock().expect("no holder panics");
            (places[from].name.clone(), places[to].name.clone())
        };
        let leaves = self.board.pass(&names.0, &names.1, bytes.len());
        let fate = if leaves.is_empty() { Fate::Lost } else { Fate::Passes };
        (self.tap)(&Crossing { at: now(), from: &names.0, to: &names.1, bytes, fate });
        let mut queue = self.queue.lock().expect("no holder panics");
        for at in leaves {
            if queue.waiting.len() < WAITING_MOST {
                queue.last += 1;
                let number = queue.last;
                queue.order.push(Reverse(((at * 1e6) as u64, number)));
                queue.waiting.insert(number, Waiting { from, to, bytes: bytes.to_vec() });
            }
        }
        self.more.notify_one();
    }

    /// The end that sends from an address. A stranger becomes an end, so that it can be answered.
    fn who(self: &Arc<Shared>, source: SocketAddr) -> Option<usize> {
        let known = |places: &[Place]| places.iter().position(|place| place.real == Some(source));
        let count = {
            let places = self.places.lock().expect("no holder panics");
            if let Some(place) = known(&places) {
                return Some(place);
            }
            places.len()
        };
        if count >= ENDS_MOST {
            return None;
        }
        let (place, _) = self.add(&format!("stranger {count}"), Some(source)).ok()?;
        // What is answered comes to its public address: it is heard there like at any other, until the relay ends.
        let shared = self.clone();
        std::thread::spawn(move || shared.receive(place));
        Some(place)
    }

    fn send_when_due(&self) {
        while !self.ended.load(Ordering::Acquire) {
            let mut queue = self.queue.lock().expect("no holder panics");
            let due = queue.order.peek().map(|Reverse((at, number))| (*at as f64 / 1e6, *number));
            let wait = due.map_or(LOOK_EVERY, |(at, _)| seconds(at - now()).min(LOOK_EVERY));
            if let Some((_, number)) = due.filter(|(at, _)| *at <= now()) {
                queue.order.pop();
                let waiting = queue.waiting.remove(&number);
                drop(queue);
                waiting.iter().for_each(|waiting| self.emit(waiting));
            } else {
                let _ = self.more.wait_timeout(queue, wait.max(Duration::from_micros(50)));
            }
        }
    }

    fn emit(&self, waiting: &Waiting) {
        let ends = {
            let places = self.places.lock().expect("no holder panics");
            places[waiting.to].real.map(|real| (places[waiting.from].socket.clone(), real))
        };
        // One that cannot be sent is one that is lost: its process is not there.
        ends.into_iter().for_each(|(socket, real)| _ = socket.send_to(&waiting.bytes, real));
    }
}
