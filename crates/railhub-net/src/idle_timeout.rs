//! Shuts a socket down when its peer is silent for too long.
//!
//! States: armed (from the start, and from each restart, for the span), suspended (until the next restart), expired (it
//! has shut the socket down), released (its owner has let the socket go; nothing happens any more).
use crate::clock::now;
use crate::timer::run_after;
use may::net::TcpStream;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};

/// When a suspended time-out was last restarted: later than any moment.
const SUSPENDED: f64 = f64::INFINITY;

struct WatchedSocket {
    /// The socket, until it is released.
    descriptor: Mutex<Option<RawFd>>,
    /// Bits of the moment of the last restart.
    restarted_at: AtomicU64,
    /// Seconds from a restart to the expiry.
    timeout: f64,
    /// The halves to shut down, as the system names them.
    shutdown_how: libc::c_int,
    has_expired: AtomicBool,
}

/// Shuts a socket down once a span has passed since the last restart. It must be dropped before its socket is.
pub struct IdleTimeout(Arc<WatchedSocket>);

impl IdleTimeout {
    /// Shuts down reading only: where a reason is still to be written.
    pub fn read_half(socket: &TcpStream, timeout: f64) -> IdleTimeout {
        IdleTimeout::start(socket, timeout, libc::SHUT_RD)
    }

    /// Shuts down writing too: a peer that stops reading must not hold the one that writes to it.
    pub fn both_halves(socket: &TcpStream, timeout: f64) -> IdleTimeout {
        IdleTimeout::start(socket, timeout, libc::SHUT_RDWR)
    }

    fn start(socket: &TcpStream, timeout: f64, shutdown_how: libc::c_int) -> IdleTimeout {
        let watched = Arc::new(WatchedSocket {
            descriptor: Mutex::new(Some(socket.inner().as_raw_fd())),
            restarted_at: AtomicU64::new(now().to_bits()),
            timeout,
            shutdown_how,
            has_expired: AtomicBool::new(false),
        });
        check_after(watched.clone(), timeout);
        IdleTimeout(watched)
    }

    /// The peer gave a sign of life, or a new wait begins: the span is counted from now.
    pub fn restart(&self) {
        self.0.restarted_at.store(now().to_bits(), Ordering::Relaxed);
    }

    /// Nothing is waited for until the next restart.
    pub fn suspend(&self) {
        self.0.restarted_at.store(SUSPENDED.to_bits(), Ordering::Relaxed);
    }

    /// A handle that closes the socket from elsewhere.
    pub fn closer(&self) -> Closer {
        Closer(Arc::downgrade(&self.0))
    }

    /// Lets the socket go. Returns whether it can be used further: one that expires just before this has shut it
    /// down, and one that is looked at before it is released may still expire between the two.
    pub fn release(self) -> bool {
        self.0.release_socket();
        !self.has_expired()
    }

    /// Whether it has shut the socket down.
    pub fn has_expired(&self) -> bool {
        self.0.has_expired.load(Ordering::Acquire)
    }
}

impl Drop for IdleTimeout {
    fn drop(&mut self) {
        self.0.release_socket();
    }
}

/// Closes a socket from elsewhere; does nothing once the socket is released.
#[derive(Clone)]
pub struct Closer(Weak<WatchedSocket>);

impl Closer {
    /// Shuts down both halves, which the socket's owner sees as its end.
    pub fn close(&self) {
        let Some(watched) = self.0.upgrade() else { return };
        let descriptor = watched.descriptor.lock().expect("no holder panics");
        if let Some(descriptor) = *descriptor {
            // SAFETY: the time-out takes the descriptor away under this lock before the socket is closed.
            unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
        }
    }
}

impl WatchedSocket {
    fn release_socket(&self) {
        *self.descriptor.lock().expect("no holder panics") = None;
    }

    fn seconds_left(&self) -> f64 {
        f64::from_bits(self.restarted_at.load(Ordering::Relaxed)) + self.timeout - now()
    }

    /// Expires if the span has passed. Returns the seconds to the next check, if one is needed.
    fn check(&self) -> Option<f64> {
        let left = self.seconds_left();
        let descriptor = self.descriptor.lock().expect("no holder panics");
        let descriptor = (*descriptor)?;
        if left > 0.0 {
            // A suspended one may be restarted at any moment, and expires a span after that.
            return Some(left.min(self.timeout));
        }
        self.has_expired.store(true, Ordering::Release);
        // SAFETY: the time-out is dropped, and takes the descriptor away under this lock, before the socket is closed.
        unsafe { libc::shutdown(descriptor, self.shutdown_how) };
        None
    }
}

fn check_after(watched: Arc<WatchedSocket>, delay: f64) {
    run_after(delay, move || {
        let next_check = watched.check();
        if let Some(next_check) = next_check {
            check_after(watched, next_check);
        }
    });
}

#[cfg(test)]
mod tests;
