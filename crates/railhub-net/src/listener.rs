//! Accepts inbound connections.
use crate::task::Task;
use may::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Delay after a failed accept, as when the process has no file descriptor left: meanwhile the open connections are
/// served.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts connections at one address until it is dropped.
pub struct Listener {
    /// The address that it listens on, with the actual port if it was opened with port 0.
    pub address: SocketAddr,
    failed_accepts: Arc<AtomicU64>,
    _accepting: Task,
}

impl Listener {
    /// Listens on an address; with port 0 the system chooses the port. `on_connection` gets every connection and must
    /// not block: it starts a coroutine to serve the connection.
    ///
    /// # Errors
    /// The error of the system if the address cannot be opened.
    pub fn open(
        address: SocketAddr,
        on_connection: impl FnMut(TcpStream, SocketAddr) + Send + 'static,
    ) -> io::Result<Listener> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let failed_accepts = Arc::new(AtomicU64::new(0));
        let counter = failed_accepts.clone();
        let accepting = Task::spawn(move || accept_connections(&listener, on_connection, &counter));
        Ok(Listener { address, failed_accepts, _accepting: accepting })
    }

    /// Number of failed accepts, mostly for lack of file descriptors.
    pub fn failed_accepts(&self) -> u64 {
        self.failed_accepts.load(Ordering::Relaxed)
    }
}

/// Runs until its task is cancelled.
fn accept_connections(
    listener: &TcpListener,
    mut on_connection: impl FnMut(TcpStream, SocketAddr),
    failed_accepts: &AtomicU64,
) {
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                on_connection(stream, peer);
                // Accepted connections are served before the next is accepted, so that a burst cannot fill the process
                // with unserved connections.
                may::coroutine::yield_now();
            }
            Err(_) => {
                failed_accepts.fetch_add(1, Ordering::Relaxed);
                may::coroutine::sleep(ACCEPT_RETRY_INTERVAL);
            }
        }
    }
}
