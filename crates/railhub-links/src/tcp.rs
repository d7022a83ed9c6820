//! Connections between ends: each is taken by the relay, which dials the other end itself and pumps both ways.
use crate::board::Board;
use crate::End;
use railhub_net::{now, seconds};
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Bytes pumped at once.
const PIECE: usize = 16 * 1024;
/// Between looks at whether the relay has ended, and at a way that is cut.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Seconds until what a way lost is sent again: a common least time of TCP.
const AGAIN_AFTER: f64 = 0.2;
/// Connections at once: further ones are closed at once, as by a full host.
const CONNECTIONS_MOST: usize = 512;
const DIAL_WITHIN: Duration = Duration::from_secs(1);

struct Shared {
    board: Arc<Board>,
    from: End,
    to: End,
    target: Mutex<Option<SocketAddr>>,
    open: Mutex<Vec<(TcpStream, TcpStream)>>,
    ended: AtomicBool,
}

/// A relay from one end to another; dropping it ends its connections.
pub struct TcpLink {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl TcpLink {
    pub fn open(board: Arc<Board>, from: &str, to: &str, target: Option<SocketAddr>) -> io::Result<TcpLink> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            board,
            from: from.to_owned(),
            to: to.to_owned(),
            target: Mutex::new(target),
            open: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let serving = shared.clone();
        let thread = std::thread::spawn(move || serving.serve(&listener));
        Ok(TcpLink { address, shared, thread: Some(thread) })
    }

    /// Where the other end listens now; `None`: nowhere.
    pub fn place(&self, target: Option<SocketAddr>) {
        *self.shared.target.lock().expect("no holder panics") = target;
    }

    /// Ends all connections at once, both sides with a reset.
    pub fn reset(&self) -> usize {
        let open = std::mem::take(&mut *self.shared.open.lock().expect("no holder panics"));
        for (a, b) in &open {
            for stream in [a, b] {
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        self.shared.board.note_resets(&self.shared.from, &self.shared.to, open.len());
        open.len()
    }
}

impl Drop for TcpLink {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Release);
        self.thread.take().into_iter().for_each(|thread| _ = thread.join());
        self.reset();
    }
}

impl Shared {
    fn serve(self: &Arc<Shared>, listener: &TcpListener) {
        while !self.ended.load(Ordering::Acquire) {
            match listener.accept() {
                Ok((near, _)) => {
                    let shared = self.clone();
                    std::thread::spawn(move || shared.join(near));
                }
                Err(_) => std::thread::sleep(LOOK_EVERY / 4),
            }
        }
    }

    fn is_cut(&self) -> bool {
        self.board.faults(&self.from, &self.to).cut || self.board.faults(&self.to, &self.from).cut
    }

    /// Dials the other end, when the ways let that through, and pumps.
    fn join(self: &Arc<Shared>, near: TcpStream) {
        let _ = near.set_nonblocking(false);
        while self.is_cut() {
            if self.ended.load(Ordering::Acquire) {
                return;
            }
            std::thread::sleep(LOOK_EVERY);
        }
        let target = *self.target.lock().expect("no holder panics");
        let far = target.and_then(|target| TcpStream::connect_timeout(&target, DIAL_WITHIN).ok());
        let Some(far) = far else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { return };
        {
            let mut open = self.open.lock().expect("no holder panics");
            // Those that ended by themselves are let go.
            open.retain(|(near, _)| near.take_error().is_ok_and(|e| e.is_none()) && near.peer_addr().is_ok());
            if open.len() >= CONNECTIONS_MOST {
                return;
            }
            if let (Ok(a), Ok(b)) = (near.try_clone(), far.try_clone()) {
                open.push((a, b));
            }
        }
        let shared = self.clone();
        std::thread::spawn(move || shared.pump(far_too, near_too, false));
        self.pump(near, far, true);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, forth: bool) {
        let (a, b) = if forth { (&self.from, &self.to) } else { (&self.to, &self.from) };
        let _ = from.set_read_timeout(Some(LOOK_EVERY));
        let mut piece = vec![0; PIECE];
        while !self.ended.load(Ordering::Acquire) {
            let length = match from.read(&mut piece) {
                Ok(0) => break,
                Ok(length) => length,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
                Err(_) => break,
            };
            if !self.wait_for_way(a, b, length) || to.write_all(&piece[..length]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(Shutdown::Read), to.shutdown(Shutdown::Write));
    }

    /// Holds a piece until its way lets it through; false: the relay has ended.
    fn wait_for_way(&self, from: &str, to: &str, bytes: usize) -> bool {
        loop {
            if self.ended.load(Ordering::Acquire) {
                return false;
            }
            if let Some(at) = self.board.pass(from, to, bytes).first() {
                std::thread::sleep(seconds(at - now()));
                return true;
            }
            let cut = self.board.faults(from, to).cut;
            std::thread::sleep(if cut { LOOK_EVERY } else { seconds(AGAIN_AFTER) });
        }
    }
}
