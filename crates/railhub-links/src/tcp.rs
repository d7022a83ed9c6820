//! Connections between ends: each is taken by the relay, which dials the other end itself and pumps both ways.
use crate::board::Board;
use crate::End;
use railhub_net::{now, seconds};
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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
    open: Mutex<Vec<Open>>,
    /// Connections that are being taken or pumped.
    count: AtomicUsize,
    ended: AtomicBool,
}

/// One connection through the relay.
struct Open {
    near: TcpStream,
    far: TcpStream,
    /// It ends without a word: both sides are reset.
    reset: Arc<AtomicBool>,
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
            count: AtomicUsize::new(0),
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
        for one in &open {
            // A socket that lingers for no time is reset when the last of its holders lets it go: the pumps, which look
            // at the flag. Shutting it down first would say a proper end instead.
            for stream in [&one.near, &one.far] {
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            }
            one.reset.store(true, Ordering::Release);
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
                // Too many: this one is closed at once.
                Ok(_) if self.count.load(Ordering::Acquire) >= CONNECTIONS_MOST => {}
                Ok((near, _)) => {
                    self.count.fetch_add(1, Ordering::AcqRel);
                    let shared = self.clone();
                    std::thread::spawn(move || {
                        shared.join(near);
                        shared.count.fetch_sub(1, Ordering::AcqRel);
                    });
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
        let reset = Arc::new(AtomicBool::new(false));
        let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { return };
        if let (Ok(near), Ok(far)) = (near.try_clone(), far.try_clone()) {
            let mut open = self.open.lock().expect("no holder panics");
            // Those whose pumps have ended are let go.
            open.retain(|one| Arc::strong_count(&one.reset) > 1);
            open.push(Open { near, far, reset: reset.clone() });
        }
        let (shared, also) = (self.clone(), reset.clone());
        let back = std::thread::spawn(move || shared.pump(far_too, near_too, false, &also));
        self.pump(near, far, true, &reset);
        let _ = back.join();
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, forth: bool, reset: &AtomicBool) {
        let (a, b) = if forth { (&self.from, &self.to) } else { (&self.to, &self.from) };
        let _ = (from.set_read_timeout(Some(LOOK_EVERY)), to.set_write_timeout(Some(LOOK_EVERY)));
        let mut piece = vec![0; PIECE];
        while !self.ended.load(Ordering::Acquire) {
            if reset.load(Ordering::Acquire) {
                return;
            }
            let length = match from.read(&mut piece) {
                Ok(0) => break,
                Ok(length) => length,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
                Err(_) => break,
            };
            if !self.wait_for_way(a, b, length, reset) || !self.write(&mut to, &piece[..length], reset) {
                break;
            }
        }
        if !reset.load(Ordering::Acquire) {
            let _ = (from.shutdown(Shutdown::Read), to.shutdown(Shutdown::Write));
        }
    }

    /// Writes all of a piece, however slowly it is read; false: somebody ended it.
    fn write(&self, to: &mut TcpStream, piece: &[u8], reset: &AtomicBool) -> bool {
        let mut written = 0;
        while written < piece.len() {
            if self.ended.load(Ordering::Acquire) || reset.load(Ordering::Acquire) {
                return false;
            }
            match to.write(&piece[written..]) {
                Ok(0) => return false,
                Ok(length) => written += length,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Holds a piece until its way lets it through; false: the relay or the connection has ended.
    fn wait_for_way(&self, from: &str, to: &str, bytes: usize, reset: &AtomicBool) -> bool {
        loop {
            if self.ended.load(Ordering::Acquire) || reset.load(Ordering::Acquire) {
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
