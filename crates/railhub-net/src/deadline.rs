//! Time-outs by a thread of our own. The runtime's timer list can fail an assertion when many timers are taken
//! back while others run out (seen under load with `may` 0.3: the timer thread panicked and every sleep of the
//! process hung), so nothing here takes one back: a wait that ended early leaves an entry that does nothing.
use crate::clock::{now, seconds};
use may::net::TcpStream;
use std::collections::BinaryHeap;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, OnceLock};

/// Seconds the thread sleeps when nothing is due.
const IDLE: f64 = 3600.0;

type Act = Box<dyn FnOnce() + Send>;

struct Entry {
    at: f64,
    act: Act,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.at == other.at
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at)
    }
}

/// Does something after a span; it must not wait.
pub fn after(span: f64, act: impl FnOnce() + Send + 'static) {
    static THREAD: OnceLock<Sender<Entry>> = OnceLock::new();
    let sender = THREAD.get_or_init(|| {
        let (sender, receiver) = channel::<Entry>();
        std::thread::spawn(move || {
            let mut entries = BinaryHeap::new();
            loop {
                let wait = entries.peek().map_or(IDLE, |entry: &Entry| entry.at - now());
                match receiver.recv_timeout(seconds(wait)) {
                    Ok(entry) => entries.push(entry),
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => return,
                }
                while entries.peek().is_some_and(|entry| entry.at <= now()) {
                    if let Some(entry) = entries.pop() {
                        (entry.act)();
                    }
                }
            }
        });
        sender
    });
    let _ = sender.send(Entry { at: now() + span, act: Box::new(act) });
}

struct Watched {
    /// The socket, while its owner has it open.
    socket: Mutex<Option<RawFd>>,
    /// Bits of the moment it was last heard.
    heard: AtomicU64,
    span: f64,
    /// Which ways end: reading alone where a reason is still to be written.
    how: libc::c_int,
    fired: AtomicBool,
}

/// Ends reading from a socket when nothing is heard on it for a span. It must end before its socket does.
pub struct Guard(Arc<Watched>);

impl Guard {
    pub fn new(socket: &TcpStream, span: f64) -> Guard {
        Guard::ending(socket, span, libc::SHUT_RD)
    }

    /// Ends writing too: a peer that stops reading must not hold the one that writes to it.
    pub fn both_ways(socket: &TcpStream, span: f64) -> Guard {
        Guard::ending(socket, span, libc::SHUT_RDWR)
    }

    fn ending(socket: &TcpStream, span: f64, how: libc::c_int) -> Guard {
        let watched = Watched {
            socket: Mutex::new(Some(socket.inner().as_raw_fd())),
            heard: AtomicU64::new(now().to_bits()),
            span,
            how,
            fired: AtomicBool::new(false),
        };
        let watched = Arc::new(watched);
        watch(watched.clone(), span);
        Guard(watched)
    }

    pub fn heard(&self) {
        self.0.heard.store(now().to_bits(), Ordering::Relaxed);
    }

    /// Nothing is waited for until it is heard again.
    pub fn rest(&self) {
        self.0.heard.store(f64::INFINITY.to_bits(), Ordering::Relaxed);
    }

    pub fn closer(&self) -> Closer {
        Closer(Arc::downgrade(&self.0))
    }

    /// Lets the socket go. Whether it is whole: a guard that fires just before this has shut it down, and one that
    /// is asked before it is let go may still fire between the two.
    pub fn let_go(self) -> bool {
        *self.0.socket.lock().expect("no holder panics") = None;
        !self.fired()
    }

    /// It has shut the socket down.
    pub fn fired(&self) -> bool {
        self.0.fired.load(Ordering::Acquire)
    }
}

/// Ends a guarded socket from elsewhere; does nothing once its owner has let it go.
#[derive(Clone)]
pub struct Closer(std::sync::Weak<Watched>);

impl Closer {
    pub fn close(&self) {
        let Some(watched) = self.0.upgrade() else { return };
        let socket = watched.socket.lock().expect("no holder panics");
        if let Some(descriptor) = *socket {
            // SAFETY: the guard takes the descriptor away under this lock before the socket is closed.
            unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        *self.0.socket.lock().expect("no holder panics") = None;
    }
}

fn watch(watched: Arc<Watched>, span: f64) {
    after(span, move || {
        let left = f64::from_bits(watched.heard.load(Ordering::Relaxed)) + watched.span - now();
        let socket = watched.socket.lock().expect("no holder panics");
        let Some(descriptor) = *socket else { return };
        if left > 0.0 {
            drop(socket);
            // One that rests may be waited for at any moment, and then for its span.
            let look = left.min(watched.span);
            return watch(watched, look);
        }
        watched.fired.store(true, Ordering::Release);
        // SAFETY: the guard ends, and takes the descriptor away under this lock, before the socket is closed.
        unsafe { libc::shutdown(descriptor, watched.how) };
    });
}

#[cfg(test)]
mod tests;
