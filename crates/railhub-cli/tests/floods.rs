//! Crowds at the steward's address: connections that never send a whole request, descriptors that run out, slow peers,
//! peers that never stop sending and peers that do not read. Collectors and pings are served meanwhile.
mod common;

use common::line::{wait_until_read, Line};
use common::sockets::{descriptors, steward_end, SilentPeers};
use common::{eventually, framed, Steward, PATIENCE};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Connections that may stand at once at the tests' steward: 256 descriptors less 64.
const ROOM: usize = 192;
/// The start of a message of the longest length allowed before joining.
const BEGUN: &[u8] = b"\0\0\x04\0{\"t\":";
const REPORT: &str = r#"{"t":"heard","zone":"a","server":"s-1","tries":2,"failed":0,"mean_ms":4,"span_ms":1000,"load":{"util":0.5}}"#;
const REPORTS_AT_ONCE: usize = 512;
/// Bytes that a peer may leave unread in the steward's send buffer.
const UNREAD_LIMIT: usize = 128 << 10;

/// Threads that do the same over and over until this is dropped.
struct Flood {
    is_over: Arc<AtomicBool>,
    count: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// `act` is done by each thread, and counted.
    fn start(threads: usize, act: impl Fn() + Send + Sync + 'static) -> Flood {
        let (is_over, count, act) =
            (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default(), Arc::new(act));
        let run = || {
            let (is_over, count, act) = (is_over.clone(), count.clone(), act.clone());
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    act();
                    count.fetch_add(1, Ordering::Relaxed);
                }
            })
        };
        let threads = (0..threads).map(|_| run()).collect();
        Flood { is_over, count, threads }
    }

    fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// Opens so many connections, each with the start of a message.
fn unfinished(address: SocketAddr, connections: usize) -> Vec<TcpStream> {
    let open = || {
        let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
        // It may have been closed for want of room.
        let _ = stream.write_all(BEGUN);
        Some(stream)
    };
    (0..connections).filter_map(|_| open()).collect()
}

#[test]
fn thousands_of_unfinished_requests_hold_up_neither_collectors_nor_pings() {
    const ROUNDS: usize = 30;
    const CONNECTIONS: usize = 4000;
    let peers = SilentPeers::open();
    let mut steward = peers.steward("unfinished");
    let mut collectors = [Line::collector(&steward, "a"), Line::collector(&steward, "b")];
    let address = steward.listen;
    let flood = Flood::start(3, move || drop(unfinished(address, ROOM)));
    let mut rounds = 0;
    while rounds < ROUNDS || flood.count() * ROOM < CONNECTIONS {
        for collector in &mut collectors {
            assert!(collector.write(&framed(REPORT)) && collector.ping(), "a collector is thrown out");
        }
        // Each is answered or closed; the crowd can push out one that has not joined.
        eventually("a ping is answered", || steward.try_ping());
        rounds += 1;
    }
    steward.signal(libc::SIGTERM);
    eventually("it ends in the midst of the flood", || steward.ended().is_some());
    assert_eq!(steward.ended().and_then(|status| status.code()), Some(0));
    drop(flood);
}

/// Lets the process open descriptors only in place of those it closes.
fn forbid_more_descriptors(steward: &Steward) {
    let open: BTreeSet<u64> = descriptors(steward).into_iter().map(|(number, _)| number).collect();
    let lowest_free = (0..).find(|number| !open.contains(number)).expect("a number");
    let limit = libc::rlimit { rlim_cur: lowest_free, rlim_max: lowest_free };
    let process = steward.child.id() as libc::pid_t;
    // SAFETY: the limit is read alone, and no old one is asked for.
    let result = unsafe { libc::prlimit(process, libc::RLIMIT_NOFILE, &limit, std::ptr::null_mut()) };
    assert_eq!(result, 0);
}

#[test]
fn connections_are_accepted_again_once_descriptors_are_free() {
    const CROWD: usize = 40;
    let peers = SilentPeers::open();
    let steward = peers.steward("no-descriptors");
    let mut collectors: Vec<Line> =
        ["a", "b", "a", "b", "a", "b"].map(|zone| Line::collector(&steward, zone)).into();
    forbid_more_descriptors(&steward);
    let crowd = unfinished(steward.listen, CROWD);
    let waits = |stream: &TcpStream| steward_end(stream).is_some_and(|end| end.inode == 0);
    eventually("no descriptor is left", || crowd.iter().any(waits));
    assert!(collectors.iter_mut().all(Line::ping), "those that stand are served");
    drop((crowd, collectors.split_off(1)));
    eventually("a ping is answered", || steward.try_ping());
    assert!(collectors[0].ping());
}

#[test]
fn slow_peers_are_closed_when_their_time_to_join_is_over() {
    let peers = SilentPeers::open();
    let steward = peers.steward("slow");
    let mut collector = Line::collector(&steward, "a");
    let mut slow = unfinished(steward.listen, ROOM / 2);
    let began = Instant::now();
    // A byte each now and then puts nothing off; the whole message would take 100 s.
    while !slow.is_empty() {
        assert!(began.elapsed() < PATIENCE, "{} slow peers stand", slow.len());
        slow.retain_mut(|stream| stream.write_all(b" ").is_ok());
        assert!(collector.ping());
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(collector.ping() && steward.try_ping());
}

#[test]
fn a_collector_that_never_stops_sending_holds_up_nobody() {
    let peers = SilentPeers::open();
    let steward = peers.steward("greedy");
    let mut collector = Line::collector(&steward, "b");
    let mut greedy = Line::collector(&steward, "a");
    let reports = framed(REPORT).repeat(REPORTS_AT_ONCE);
    let stopper = greedy.stream.try_clone().expect("a descriptor");
    let writing = std::thread::spawn(move || while greedy.write(&reports) {});
    for _ in 0..20 {
        assert!(collector.ping(), "the collector of another zone is held up");
        assert!(steward.try_ping(), "a visitor is held up");
    }
    stopper.shutdown(std::net::Shutdown::Both).expect("it stands");
    writing.join().expect("it ends");
}

#[test]
fn a_collector_that_leaves_its_answers_unread_is_reset() {
    let peers = SilentPeers::open();
    let steward = peers.steward("unread");
    let mut witness = Line::collector(&steward, "b");
    let mut line = Line::collector(&steward, "a");
    line.block_answers();
    let began = Instant::now();
    while line.write_pings(4096) {
        let unsent = steward_end(&line.stream).map_or(0, |end| end.unsent);
        assert!(unsent <= UNREAD_LIMIT, "{unsent} bytes are kept for a peer that does not read");
        assert!(began.elapsed() < PATIENCE, "it stands");
    }
    assert!(line.end().is_reset, "what it left unread is kept no longer");
    assert!(witness.ping() && steward.try_ping());
}

#[test]
fn many_peers_that_ping_and_do_not_read_hold_up_nobody() {
    const PEERS: usize = 4;
    let peers = SilentPeers::open();
    let steward = peers.steward("pings-unread");
    let mut collector = Line::collector(&steward, "a");
    let address = steward.listen;
    let flood = Flood::start(PEERS, move || {
        let pings = common::line::ping_frame().repeat(512);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, PATIENCE) else { return };
        common::sockets::keep_receive_buffer(&stream);
        while stream.write_all(&pings).is_ok() {}
        // Closed or reset, never left silent.
        stream.set_read_timeout(Some(PATIENCE)).expect("a time");
        let end = stream.read_to_end(&mut Vec::new());
        assert!(!end.is_err_and(|fault| fault.kind() == std::io::ErrorKind::WouldBlock));
    });
    while flood.count() < 4 * PEERS {
        assert!(collector.write(&framed(REPORT)) && collector.ping(), "a collector is held up");
        eventually("a ping is answered", || steward.try_ping());
    }
    drop(flood);
    wait_until_read(&steward);
}
