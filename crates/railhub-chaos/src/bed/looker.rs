//! Asks each steward for its view, again and again, as an operator would: by datagrams that bear nothing.
use crate::view::{Node, Seen};
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

/// Between two looks at all.
const LOOK_EVERY: f64 = 0.1;
const PATIENCE: Duration = Duration::from_millis(10);
/// Views of more than one page that wait for the rest: the oldest makes room.
const PARTS_MOST: usize = 256;

/// Whom to ask: where each node listens.
pub type Asked = Arc<Mutex<BTreeMap<Node, SocketAddr>>>;
pub type Events = Arc<Mutex<Vec<Seen>>>;

pub struct Looker {
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Looker {
    pub fn start(installation: &str, began: f64, asked: Asked, events: Events) -> io::Result<Looker> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_read_timeout(Some(PATIENCE))?;
        let ended = Arc::new(AtomicBool::new(false));
        let mut desk = Desk {
            socket,
            installation: installation.to_owned(),
            began,
            asked,
            events,
            parts: BTreeMap::new(),
            turn: 0,
        };
        let stop = ended.clone();
        let thread = std::thread::spawn(move || desk.run(&stop));
        Ok(Looker { ended, thread: Some(thread) })
    }
}

impl Drop for Looker {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Release);
        self.thread.take().into_iter().for_each(|thread| _ = thread.join());
    }
}

struct Desk {
    socket: UdpSocket,
    installation: String,
    began: f64,
    asked: Asked,
    events: Events,
    parts: BTreeMap<u64, View>,
    turn: u64,
}

impl Desk {
    fn run(&mut self, ended: &AtomicBool) {
        let mut next = 0.0;
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        while !ended.load(Ordering::Acquire) {
            if now() >= next {
                next = now() + LOOK_EVERY;
                self.ask_all();
            }
            if let Ok((length, from)) = self.socket.recv_from(&mut bytes) {
                if let Ok(Packet::View(view)) = decode(&self.installation, &bytes[..length]) {
                    self.take(*view, from);
                }
            }
        }
    }

    /// A question's number names the node and the look.
    fn ask_all(&mut self) {
        self.turn += 1;
        let asked = self.asked.lock().expect("no holder panics").clone();
        for (node, address) in asked {
            self.ask((node.0 as u64) << 32 | (self.turn & 0xffff_ffff), NodeId(0), address);
        }
    }

    fn ask(&self, nonce: u64, from: NodeId, address: SocketAddr) {
        let bytes = encode(&self.installation, &Packet::ViewRequest { nonce, from });
        let _ = self.socket.send_to(&bytes, address);
    }

    fn take(&mut self, view: View, from: SocketAddr) {
        let nonce = view.nonce;
        let mut whole = match self.parts.remove(&nonce) {
            Some(mut first) => {
                first.entries.extend(view.entries);
                View { next: view.next, ..first }
            }
            None => view,
        };
        if let Some(next) = whole.next.take() {
            self.parts.insert(nonce, whole);
            if self.parts.len() > PARTS_MOST {
                self.parts.pop_first();
            }
            return self.ask(nonce, next, from);
        }
        let of = |is_live: bool| -> Vec<(u16, u64)> {
            let some = whole.entries.iter().filter(|line| line.member.status.is_live() == is_live);
            some.map(|line| (line.member.id.0, line.member.incarnation.process)).collect()
        };
        let seen = Seen::View {
            at: now() - self.began,
            node: Node((nonce >> 32) as usize),
            steward: whole.viewer.0,
            process: whole.process,
            yielded: whole.superseded,
            living: of(true),
            gone: of(false),
        };
        self.events.lock().expect("no holder panics").push(seen);
    }
}
