//! Requests each process's view, again and again, as an operator does: by datagrams that bear no gossip.
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
/// How long the observer waits for a datagram before it checks for the next request.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(10);
/// The most views that wait for further pages; the oldest makes room.
const MAX_INCOMPLETE_VIEWS: usize = 256;
/// A request's nonce has the process's number in its high half and the request's number in its low half.
const NODE_SHIFT: u32 = 32;
/// The low half of a nonce.
const REQUEST_MASK: u64 = 0xffff_ffff;

/// Where each process listens.
pub(super) type ObservedProcesses = Arc<Mutex<BTreeMap<Node, SocketAddr>>>;
/// What has been observed so far.
pub(super) type Observations = Arc<Mutex<Vec<ViewObservation>>>;

/// A thread that observes until this is dropped.
pub(super) struct Observer {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Observer {
    /// Starts to observe.
    ///
    /// # Errors
    /// No port is free.
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
    /// Views of which further pages are requested, by nonce.
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

    /// Requests the page of a view that begins at a member.
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

/// The members of a view that are alive, or those that are not.
fn members(view: &View, alive: bool) -> Vec<MemberProcess> {
    let chosen = view.entries.iter().filter(|entry| entry.member.status.is_live() == alive);
    chosen.map(|entry| (entry.member.id.0, entry.member.incarnation.process)).collect()
}
