//! Takes connections until dropped.
use crate::task::Task;
use may::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Seconds between tries while the process has no file handle left: those it has go on being served.
const NO_HANDLE_PAUSE: Duration = Duration::from_millis(50);

pub struct Listener {
    pub address: SocketAddr,
    failed: Arc<AtomicU64>,
    _accepting: Task,
}

impl Listener {
    /// Listens on an address, port 0 for one that the system picks. `each` gets every connection and must not
    /// wait: it starts a coroutine of its own.
    pub fn open(
        address: SocketAddr,
        mut each: impl FnMut(TcpStream, SocketAddr) + Send + 'static,
    ) -> io::Result<Listener> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let failed = Arc::new(AtomicU64::new(0));
        let counted = failed.clone();
        let accepting = Task::go(move || loop {
            match listener.accept() {
                Ok((stream, peer)) => {
                    each(stream, peer);
                    // Those taken are served before the next is: a crowd must not fill the process with
                    // connections that nobody has looked at.
                    may::coroutine::yield_now();
                }
                Err(_) => {
                    counted.fetch_add(1, Ordering::Relaxed);
                    may::coroutine::sleep(NO_HANDLE_PAUSE);
                }
            }
        });
        Ok(Listener { address, failed, _accepting: accepting })
    }

    /// Connections that could not be taken, for want of file handles mostly.
    pub fn failed(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }
}
