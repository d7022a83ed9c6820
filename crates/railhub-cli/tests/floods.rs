//! Many clients at the controller's address: connections that never send a complete request, descriptors that run out,
//! slow peers, peers that send without pause and peers that do not read. Collectors and pings are served meanwhile.
mod common;

use common::client_connection::{wait_until_input_read, ClientConnection};
use common::sockets::{controller_socket, descriptors, SilentPeers};
use common::{eventually, framed, Controller, EVENT_TIMEOUT};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Connections that the controller accepts at once in these tests: 256 descriptors less 64 that it reserves.
const MAX_CONNECTIONS: usize = 192;
/// The start of a message with the greatest length that is allowed before joining.
const PARTIAL_MESSAGE: &[u8] = b"\0\0\x04\0{\"t\":";
const REPORT: &str = r#"{"t":"heard","zone":"a","server":"s-1","tries":2,"failed":0,"mean_ms":4,"span_ms":1000,"load":{"util":0.5}}"#;
const REPORTS_PER_WRITE: usize = 512;
/// The controller resets a peer that leaves more bytes than this unread in the controller's send buffer.
const MAX_UNREAD_BYTES: usize = 128 << 10;

/// Threads that repeat an action until this is dropped.
struct Flood {
    is_stopped: Arc<AtomicBool>,
    count: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Each thread repeats `action`; completed actions are counted.
    fn start(threads: usize, action: impl Fn() + Send + Sync + 'static) -> Flood {
        let (is_stopped, count, action) =
            (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default(), Arc::new(action));
        let run = || {
            let (is_stopped, count, action) = (is_stopped.clone(), count.clone(), action.clone());
            std::thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    action();
                    count.fetch_add(1, Ordering::Relaxed);
                }
            })
        };
        let threads = (0..threads).map(|_| run()).collect();
        Flood { is_stopped, count, threads }
    }

    fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// Opens this many connections and sends the start of a message on each.
fn open_unfinished(address: SocketAddr, connections: usize) -> Vec<TcpStream> {
    let open = || {
        let mut stream = TcpStream::connect_timeout(&address, EVENT_TIMEOUT).ok()?;
        // Fails if the controller closed the connection because it has too many.
        let _ = stream.write_all(PARTIAL_MESSAGE);
        Some(stream)
    };
    (0..connections).filter_map(|_| open()).collect()
}

#[test]
fn unfinished_requests_delay_neither_collectors_nor_pings() {
    const MIN_ROUNDS: usize = 30;
    const MIN_CONNECTIONS: usize = 4000;
    let peers = SilentPeers::open();
    let mut controller = peers.start_controller("unfinished");
    let mut collectors =
        [ClientConnection::collector(&controller, "a"), ClientConnection::collector(&controller, "b")];
    let address = controller.listen;
    let flood = Flood::start(3, move || drop(open_unfinished(address, MAX_CONNECTIONS)));
    let mut rounds = 0;
    while rounds < MIN_ROUNDS || flood.count() * MAX_CONNECTIONS < MIN_CONNECTIONS {
        for collector in &mut collectors {
            assert!(collector.write(&framed(REPORT)) && collector.ping(), "a collector lost its connection");
        }
        // A ping may get no response: the crowd can displace a connection that has not joined, which is then closed.
        eventually("a ping is answered", || controller.try_ping());
        rounds += 1;
    }
    controller.signal(libc::SIGTERM);
    eventually("the controller exits during the flood", || controller.exit_status().is_some());
    assert_eq!(controller.exit_status().and_then(|status| status.code()), Some(0));
    drop(flood);
}

/// Lowers the limit so that the process can open descriptors only in place of those it closes.
fn forbid_more_descriptors(controller: &Controller) {
    let open: BTreeSet<u64> = descriptors(controller).into_iter().map(|(number, _)| number).collect();
    let lowest_free = (0..).find(|number| !open.contains(number)).expect("some number is free");
    let limit = libc::rlimit { rlim_cur: lowest_free, rlim_max: lowest_free };
    let process = controller.child.id() as libc::pid_t;
    // SAFETY: the kernel only reads the limit, and a null pointer means that the old limit is not returned.
    let result = unsafe { libc::prlimit(process, libc::RLIMIT_NOFILE, &limit, std::ptr::null_mut()) };
    assert_eq!(result, 0);
}

#[test]
fn connections_are_accepted_again_once_descriptors_are_free() {
    const CROWD_CONNECTIONS: usize = 40;
    let peers = SilentPeers::open();
    let controller = peers.start_controller("no-descriptors");
    let mut collectors: Vec<ClientConnection> =
        ["a", "b", "a", "b", "a", "b"].map(|zone| ClientConnection::collector(&controller, zone)).into();
    forbid_more_descriptors(&controller);
    let crowd = open_unfinished(controller.listen, CROWD_CONNECTIONS);
    let is_not_accepted =
        |stream: &TcpStream| controller_socket(stream).is_some_and(|socket| socket.inode == 0);
    eventually("no descriptor is left", || crowd.iter().any(is_not_accepted));
    assert!(
        collectors.iter_mut().all(ClientConnection::ping),
        "a collector that joined before got no response"
    );
    drop((crowd, collectors.split_off(1)));
    eventually("a ping is answered", || controller.try_ping());
    assert!(collectors[0].ping());
}

#[test]
fn slow_peers_are_closed_after_the_join_timeout() {
    let peers = SilentPeers::open();
    let controller = peers.start_controller("slow");
    let mut collector = ClientConnection::collector(&controller, "a");
    let mut slow = open_unfinished(controller.listen, MAX_CONNECTIONS / 2);
    let started_at = Instant::now();
    // Single bytes do not extend the join timeout; at this pace the complete message would take 100 s.
    while !slow.is_empty() {
        assert!(started_at.elapsed() < EVENT_TIMEOUT, "{} slow peers are still connected", slow.len());
        slow.retain_mut(|stream| stream.write_all(b" ").is_ok());
        assert!(collector.ping());
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(collector.ping() && controller.try_ping());
}

#[test]
fn a_collector_that_sends_without_pause_delays_no_other_client() {
    let peers = SilentPeers::open();
    let controller = peers.start_controller("greedy");
    let mut collector = ClientConnection::collector(&controller, "b");
    let mut greedy = ClientConnection::collector(&controller, "a");
    let reports = framed(REPORT).repeat(REPORTS_PER_WRITE);
    let greedy_stream = greedy.stream.try_clone().expect("the stream can be cloned");
    let writing = std::thread::spawn(move || while greedy.write(&reports) {});
    for _ in 0..20 {
        assert!(collector.ping(), "the collector of another zone got no response");
        assert!(controller.try_ping(), "an unidentified client got no response");
    }
    greedy_stream.shutdown(std::net::Shutdown::Both).expect("the connection is open");
    writing.join().expect("the writing thread ends");
}

#[test]
fn a_collector_that_does_not_read_responses_is_reset() {
    let peers = SilentPeers::open();
    let controller = peers.start_controller("unread");
    let mut other_collector = ClientConnection::collector(&controller, "b");
    let mut connection = ClientConnection::collector(&controller, "a");
    connection.fill_send_buffer();
    let started_at = Instant::now();
    while connection.write_pings(4096) {
        let unsent = controller_socket(&connection.stream).map_or(0, |socket| socket.unsent);
        assert!(unsent <= MAX_UNREAD_BYTES, "{unsent} bytes are buffered for a peer that does not read");
        assert!(started_at.elapsed() < EVENT_TIMEOUT, "the connection was not reset");
    }
    assert!(connection.wait_for_close().is_reset, "the connection was closed without a reset");
    assert!(other_collector.ping() && controller.try_ping());
}

#[test]
fn peers_that_ping_and_do_not_read_delay_no_other_client() {
    const PEERS: usize = 4;
    let peers = SilentPeers::open();
    let controller = peers.start_controller("pings-unread");
    let mut collector = ClientConnection::collector(&controller, "a");
    let address = controller.listen;
    let flood = Flood::start(PEERS, move || {
        let pings = common::client_connection::ping_frame().repeat(512);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, EVENT_TIMEOUT) else { return };
        common::sockets::fix_receive_buffer_size(&stream);
        while stream.write_all(&pings).is_ok() {}
        // The controller must close or reset the connection; a read timeout means that it did neither.
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("timeout is set");
        let result = stream.read_to_end(&mut Vec::new());
        assert!(!result.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock));
    });
    while flood.count() < 4 * PEERS {
        assert!(collector.write(&framed(REPORT)) && collector.ping(), "a collector got no response");
        eventually("a ping is answered", || controller.try_ping());
    }
    drop(flood);
    wait_until_input_read(&controller);
}
