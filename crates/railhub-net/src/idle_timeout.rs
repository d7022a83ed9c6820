//! Shuts down a socket whose peer is silent for too long.
//!
//! States: armed (after creation and after each restart), suspended (until the next restart), expired (the socket has
//! been shut down), released (the time-out no longer touches the socket).
use crate::clock::now;
use crate::timer::run_after;
use may::net::TcpStream;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};

/// Restart time of a suspended time-out: it is later than any moment, so the time-out never expires.
const SUSPENDED: f64 = f64::INFINITY;

struct WatchedSocket {
    /// The socket's descriptor; `None` once released.
    descriptor: Mutex<Option<RawFd>>,
    /// When the time-out was last restarted, as the bits of an `f64`.
    restarted_at: AtomicU64,
    /// Seconds from a restart to expiry.
    timeout: f64,
    /// The halves to shut down: the second argument of `shutdown`.
    shutdown_how: libc::c_int,
    has_expired: AtomicBool,
}

/// Shuts down a socket `timeout` seconds after the last restart. It must be dropped before its socket.
pub struct IdleTimeout(Arc<WatchedSocket>);

impl IdleTimeout {
    /// Shuts down reading only, so that the reason can still be written to the peer.
    pub fn read_half(socket: &TcpStream, timeout: f64) -> IdleTimeout {
        IdleTimeout::start(socket, timeout, libc::SHUT_RD)
    }

    /// Shuts down reading and writing, so that a peer that stops reading cannot block the writer.
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

    /// Restarts the time-out: the peer has sent something, or a new wait begins.
    pub fn restart(&self) {
        self.0.restarted_at.store(now().to_bits(), Ordering::Relaxed);
    }

    /// Suspends the time-out until the next restart.
    pub fn suspend(&self) {
        self.0.restarted_at.store(SUSPENDED.to_bits(), Ordering::Relaxed);
    }

    /// A handle to close the socket from another coroutine or thread.
    pub fn closer(&self) -> Closer {
        Closer(Arc::downgrade(&self.0))
    }

    /// Releases the socket. Returns whether the socket can still be used, that is, whether the time-out had not expired
    /// before. To check [`IdleTimeout::has_expired`] before the release would not do: the time-out may expire between
    /// the two.
    pub fn release(self) -> bool {
        self.0.release_socket();
        !self.has_expired()
    }

    /// Whether the time-out has expired and shut down the socket.
    pub fn has_expired(&self) -> bool {
        self.0.has_expired.load(Ordering::Acquire)
    }
}

impl Drop for IdleTimeout {
    fn drop(&mut self) {
        self.0.release_socket();
    }
}

/// A handle to close a socket from another coroutine or thread. It does nothing once the socket is released.
#[derive(Clone)]
pub struct Closer(Weak<WatchedSocket>);

impl Closer {
    /// Shuts down both halves; the socket's owner sees the end of the stream.
    pub fn close(&self) {
        let Some(watched) = self.0.upgrade() else { return };
        let descriptor = watched.descriptor.lock().expect("no holder panics");
        if let Some(descriptor) = *descriptor {
            // SAFETY: the descriptor is open: the time-out is dropped before the socket, and then removes the
            // descriptor under this lock.
            unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
        }
    }
}

impl WatchedSocket {
    fn release_socket(&self) {
        *self.descriptor.lock().expect("no holder panics") = None;
    }

    fn seconds_remaining(&self) -> f64 {
        f64::from_bits(self.restarted_at.load(Ordering::Relaxed)) + self.timeout - now()
    }

    /// Shuts down the socket if the time-out has expired. Returns the seconds to the next check, if one is needed.
    fn check(&self) -> Option<f64> {
        let remaining = self.seconds_remaining();
        let descriptor = self.descriptor.lock().expect("no holder panics");
        let descriptor = (*descriptor)?;
        if remaining > 0.0 {
            // A suspended time-out may be restarted at any moment, and then expires after `timeout` seconds.
            return Some(remaining.min(self.timeout));
        }
        self.has_expired.store(true, Ordering::Release);
        // SAFETY: the descriptor is open: the time-out is dropped before the socket, and then removes the descriptor
        // under this lock.
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
