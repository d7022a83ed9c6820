//! The same exchange as between controller and proxies over bare sockets, for comparison.
use super::{median, other_process, Peers, BARE};
use may::net::TcpListener;
use railhub_net::{now, seconds, spawn, Task};
use std::io::{BufRead, BufReader, Read, Write};
use std::process::{Child, ChildStdin, ChildStdout};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// A program on bare `may` sockets in a process like the controller's: writes a frame to each of its sockets and reads one
/// acknowledgement back, as often as it is asked.
pub struct BareSockets {
    child: Child,
    asks: ChildStdin,
    answers: BufReader<ChildStdout>,
    _peers: Vec<Task>,
}

impl BareSockets {
    pub fn start(sockets: u32) -> BareSockets {
        let (child, asks, answers, address) = other_process(BARE, &sockets.to_string());
        let peers = Peers::default().join(address, 0, sockets, None);
        BareSockets { child, asks, answers, _peers: peers }
    }

    pub fn spread(&mut self, body: usize) -> f64 {
        let mut run = || -> f64 {
            writeln!(self.asks, "{body}").expect("it lives");
            let mut line = String::new();
            self.answers.read_line(&mut line).expect("it lives");
            line.trim().parse().expect("a number")
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

pub fn run_bare_sockets(sockets: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    println!("{}", listener.local_addr().expect("bound"));
    let (left, last) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicU64::new(0)));
    let frame = Arc::new(Mutex::new(Arc::new(Vec::new())));
    let starts: Vec<Arc<may::sync::Semphore>> = (0..sockets)
        .map(|_| {
            let mut stream = listener.accept().expect("a client").0;
            stream.set_nodelay(true).expect("open");
            let start = Arc::new(may::sync::Semphore::new(0));
            let (wait, frame, left, last) = (start.clone(), frame.clone(), left.clone(), last.clone());
            spawn(move || {
                let mut answer = [0; 64];
                // What the client says first.
                let _ = stream.read(&mut answer);
                loop {
                    wait.wait();
                    let bytes: Arc<Vec<u8>> = Arc::clone(&*frame.lock().expect("no holder panics"));
                    if stream.write_all(&bytes).is_err() || stream.read(&mut answer).is_err() {
                        return;
                    }
                    last.fetch_max(now().to_bits(), Ordering::Relaxed);
                    left.fetch_sub(1, Ordering::Release);
                }
            });
            start
        })
        .collect();
    for line in std::io::stdin().lines() {
        let Some(length) = line.ok().and_then(|line| line.parse::<usize>().ok()) else { return };
        let mut bytes = (length as u32).to_be_bytes().to_vec();
        // A message whose nonce is 7, and zeros.
        bytes.extend([0x0a, 0x02, 0x08, 0x07]);
        bytes.resize(4 + length, 0);
        *frame.lock().expect("no holder panics") = Arc::new(bytes);
        left.store(sockets, Ordering::Release);
        let began = now();
        starts.iter().for_each(|start| start.post());
        while left.load(Ordering::Acquire) > 0 {
            std::thread::sleep(seconds(0.0005));
        }
        println!("{}", f64::from_bits(last.load(Ordering::Relaxed)) - began);
    }
}
