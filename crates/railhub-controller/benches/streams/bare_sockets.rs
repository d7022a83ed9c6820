//! The exchange of frames and acknowledgements between controller and proxies over bare sockets, as a baseline.
use super::{median, start_child, Proxies, BARE_SOCKETS_ENV};
use may::net::TcpListener;
use railhub_net::{now, seconds, spawn, Task};
use std::io::{BufRead, BufReader, Read, Write};
use std::process::{Child, ChildStdin, ChildStdout};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// A child process on bare `may` sockets: on each request it writes a frame to all of its sockets and reads an
/// acknowledgement from each.
pub struct BareSockets {
    child: Child,
    requests: ChildStdin,
    responses: BufReader<ChildStdout>,
    _tasks: Vec<Task>,
}

impl BareSockets {
    /// Starts the process and connects its clients.
    pub fn start(sockets: u32) -> BareSockets {
        let (child, requests, responses, address) = start_child(BARE_SOCKETS_ENV, &sockets.to_string());
        let tasks = Proxies::default().join(address, 0, sockets, None);
        BareSockets { child, requests, responses, _tasks: tasks }
    }

    /// Median seconds from the first write to the last acknowledgement of a frame with a body of this length.
    pub fn fan_out_time(&mut self, body_bytes: usize) -> f64 {
        let mut run = || -> f64 {
            writeln!(self.requests, "{body_bytes}").expect("the child runs");
            let mut line = String::new();
            self.responses.read_line(&mut line).expect("the child runs");
            line.trim().parse().expect("a number of seconds")
        };
        median((0..7).map(|_| run()).collect())
    }
}

impl Drop for BareSockets {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs in the child process: prints its address and accepts its clients. For each line with the length of a body it
/// sends a frame to all clients and prints the seconds until the last acknowledgement.
pub fn run_bare_sockets(sockets: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    println!("{}", listener.local_addr().expect("bound"));
    let (pending_acks, last_ack_at) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicU64::new(0)));
    let frame = Arc::new(Mutex::new(Arc::new(Vec::new())));
    let starts: Vec<Arc<may::sync::Semphore>> = (0..sockets)
        .map(|_| {
            let mut stream = listener.accept().expect("a client connects").0;
            stream.set_nodelay(true).expect("open stream");
            let start = Arc::new(may::sync::Semphore::new(0));
            let (started, frame) = (start.clone(), frame.clone());
            let (pending_acks, last_ack_at) = (pending_acks.clone(), last_ack_at.clone());
            spawn(move || {
                let mut ack = [0; 64];
                // The client's subscription.
                let _ = stream.read(&mut ack);
                loop {
                    started.wait();
                    let bytes: Arc<Vec<u8>> = Arc::clone(&*frame.lock().expect("no holder panics"));
                    if stream.write_all(&bytes).is_err() || stream.read(&mut ack).is_err() {
                        return;
                    }
                    last_ack_at.fetch_max(now().to_bits(), Ordering::Relaxed);
                    pending_acks.fetch_sub(1, Ordering::Release);
                }
            });
            start
        })
        .collect();
    for line in std::io::stdin().lines() {
        let Some(body_bytes) = line.ok().and_then(|line| line.parse::<usize>().ok()) else { return };
        let mut bytes = (body_bytes as u32).to_be_bytes().to_vec();
        // A delta with nonce 7, padded with zeros.
        bytes.extend([0x0a, 0x02, 0x08, 0x07]);
        bytes.resize(4 + body_bytes, 0);
        *frame.lock().expect("no holder panics") = Arc::new(bytes);
        pending_acks.store(sockets, Ordering::Release);
        let started_at = now();
        starts.iter().for_each(|start| start.post());
        while pending_acks.load(Ordering::Acquire) > 0 {
            std::thread::sleep(seconds(0.0005));
        }
        println!("{}", f64::from_bits(last_ack_at.load(Ordering::Relaxed)) - started_at);
    }
}
