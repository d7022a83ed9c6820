//! Requests the view of each process periodically, with the datagrams that operators' tools use, which carry no gossip.
use crate::view::observation::{MemberProcess, Node, ViewObservation};
use railhub_membership::packet::{decode, encode, Packet, View, MAX_DATAGRAM_BYTES};
use railhub_membership::NodeId;
use railhub_net::now;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Seconds between two requests to all processes.
const OBSERVATION_INTERVAL: f64 = 0.1;
/// How long the observer waits for a datagram before it checks whether the next request is due.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(10);
/// Maximum number of views with further pages outstanding; beyond it the oldest is dropped.
const MAX_INCOMPLETE_VIEWS: usize = 256;
/// Position of the node number in the nonce of a request: it is in the high half, and the request number in the low half.
const NODE_SHIFT: u32 = 32;
/// Mask of the request number in a nonce.
const REQUEST_MASK: u64 = 0xffff_ffff;

/// The cluster address of each running process.
pub(super) type ObservedProcesses = Arc<Mutex<BTreeMap<Node, SocketAddr>>>;
/// The observations so far.
pub(super) type Observations = Arc<Mutex<Vec<ViewObservation>>>;

/// A thread that polls the views of all processes until this value is dropped.
pub(super) struct Observer {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Observer {
    /// Starts the thread.
    ///
    /// # Errors
    /// The UDP socket cannot be opened.
    pub fn start(
        installation: &str,
        started_at: f64,
        processes: ObservedProcesses,
        observations: Observations,
    ) -> io::Result<Observer> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        let mut poller = ViewPoller {
            socket,
            installation: installation.to_owned(),
            started_at,
            processes,
            observations,
            incomplete_views: BTreeMap::new(),
            last_request: 0,
        };
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = stopped.clone();
        let thread = std::thread::spawn(move || poller.run(&stop));
        Ok(Observer { stopped, thread: Some(thread) })
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct ViewPoller {
    socket: UdpSocket,
    installation: String,
    started_at: f64,
    processes: ObservedProcesses,
    observations: Observations,
    /// Views with further pages outstanding, by nonce.
    incomplete_views: BTreeMap<u64, View>,
    last_request: u64,
}

impl ViewPoller {
    fn run(&mut self, stopped: &AtomicBool) {
        let mut next_request_at = 0.0;
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        while !stopped.load(Ordering::Acquire) {
            if now() >= next_request_at {
                next_request_at = now() + OBSERVATION_INTERVAL;
                self.request_all();
            }
            if let Ok((length, from)) = self.socket.recv_from(&mut bytes) {
                if let Ok(Packet::View(view)) = decode(&self.installation, &bytes[..length]) {
                    self.on_view(*view, from);
                }
            }
        }
    }

    fn request_all(&mut self) {
        self.last_request += 1;
        let processes = self.processes.lock().expect("no holder panics").clone();
        for (node, address) in processes {
            let nonce = (node.0 as u64) << NODE_SHIFT | (self.last_request & REQUEST_MASK);
            self.request(nonce, NodeId(0), address);
        }
    }

    /// Requests the page of a view that begins at the member `from`.
    fn request(&self, nonce: u64, from: NodeId, address: SocketAddr) {
        let bytes = encode(&self.installation, &Packet::ViewRequest { nonce, from });
        let _ = self.socket.send_to(&bytes, address);
    }

    fn on_view(&mut self, page: View, from: SocketAddr) {
        let nonce = page.nonce;
        let mut view = match self.incomplete_views.remove(&nonce) {
            Some(mut earlier_pages) => {
                earlier_pages.entries.extend(page.entries);
                View { next: page.next, ..earlier_pages }
            }
            None => page,
        };
        if let Some(next) = view.next.take() {
            self.incomplete_views.insert(nonce, view);
            if self.incomplete_views.len() > MAX_INCOMPLETE_VIEWS {
                self.incomplete_views.pop_first();
            }
            return self.request(nonce, next, from);
        }
        let observation = ViewObservation::View {
            at: now() - self.started_at,
            node: Node((nonce >> NODE_SHIFT) as usize),
            controller: view.viewer.0,
            process: view.process,
            superseded: view.superseded,
            alive: members(&view, true),
            gone: members(&view, false),
        };
        self.observations.lock().expect("no holder panics").push(observation);
    }
}

/// The members of a view that are alive, or the others if `alive` is false.
fn members(view: &View, alive: bool) -> Vec<MemberProcess> {
    let chosen = view.entries.iter().filter(|entry| entry.member.status.is_live() == alive);
    chosen.map(|entry| (entry.member.id.0, entry.member.incarnation.process)).collect()
}
