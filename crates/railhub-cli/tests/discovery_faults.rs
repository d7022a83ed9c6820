//! A discovery that breaks off or falls silent anywhere in its answer, floods the steward with lists, or is replaced by
//! another one. What counts in the end is seen in the orders at a scripted relay.
mod common;
#[path = "common/scripted.rs"]
mod scripted;

use common::{eventually, file_text, ping, Steward, PATIENCE};
use scripted::{
    chunk, file_with_hosts, host_list, instance, own_address, page, slice_with_owner, snapshot,
    start_steward, RelayDelays, ScriptedDiscovery, ScriptedRelay, ServingRelay, Watch, WATCH_HEAD,
};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A large site.
const MANY_HOSTS: usize = 2800;
/// How soon the platform may kill a steward after SIGTERM.
const TERM_GRACE: Duration = Duration::from_millis(700);

/// How long a flood lasts.
const FLOOD_SPAN: Duration = Duration::from_secs(4);
/// Of a process that needs some 10 MB; pages that waited without bound would take hundreds.
const MAX_FLOOD_MEMORY_MB: u64 = 20;

/// A list that must not count: it names `s-9`, which no other does.
fn lost_page() -> String {
    page(44, true, &[instance("s-1", "ready"), instance("s-9", "ready"), instance("s-1", "ready")])
}

/// The list that counts in the end: `s-3` takes the place of `s-2`.
fn full_page(generation: u64) -> String {
    page(generation, true, &[instance("s-1", "ready"), instance("s-3", "ready")])
}

/// The first watch gets a part of an answer, then its end; the next must ask for the same and count whole.
fn assert_recovers(case: &str, part: &str, end: impl FnOnce(&mut Watch)) {
    let relay = ServingRelay::start(RelayDelays::default());
    let discovery = ScriptedDiscovery::open();
    let _steward =
        start_steward(&format!("fault-{case}"), |listen| file_text(listen, relay.address, discovery.address));
    let mut broken = discovery.watch();
    broken.send(part);
    end(&mut broken);
    let mut next = discovery.watch();
    assert!(next.request.contains("after=41 "), "{case}: {}", next.request);
    next.send(&(WATCH_HEAD.to_owned() + &chunk(&full_page(50))));
    next.keep_alive();
    eventually(&format!("{case}: the full list counts"), || relay.has_call_with("\"s-3\""));
    assert!(!relay.has_call_with("\"s-9\""), "{case}: a part of a list counted");
}

/// Answers that break off: where, and what was sent by then.
fn partial_answers() -> Vec<(&'static str, String)> {
    let whole = lost_page();
    let half_line = &whole[..whole.rfind("s-1").expect("named twice")];
    let chunked = chunk(&whole);
    let half_chunk = &chunked[..chunked.rfind("s-1").expect("named twice")];
    vec![
        ("nothing", String::new()),
        ("head", WATCH_HEAD[..WATCH_HEAD.len() - 2].to_owned()),
        ("body", WATCH_HEAD.to_owned()),
        ("chunk-size", WATCH_HEAD.to_owned() + &chunked[..1]),
        ("chunk", WATCH_HEAD.to_owned() + half_chunk),
        ("line", WATCH_HEAD.to_owned() + &chunk(half_line)),
    ]
}

#[test]
fn an_answer_that_breaks_off_anywhere_is_asked_for_again_and_its_part_does_not_count() {
    for (place, part) in partial_answers() {
        assert_recovers(&format!("closed-{place}"), &part, |watch| {
            watch.stream.shutdown(Shutdown::Both).expect("open");
        });
    }
}

#[test]
fn an_answer_that_falls_silent_anywhere_is_asked_for_again_and_its_part_does_not_count() {
    // Each waits for the same silence, so they do it side by side; the broken connections stay open until the end.
    std::thread::scope(|scope| {
        for (place, part) in partial_answers() {
            scope.spawn(move || {
                let mut open = None;
                let keep_open =
                    |watch: &mut Watch| open = Some(watch.stream.try_clone().expect("a descriptor"));
                assert_recovers(&format!("silent-{place}"), &part, keep_open);
                drop(open);
            });
        }
    });
}

#[test]
fn an_answer_that_ends_in_its_last_chunk_is_asked_for_again() {
    let whole = WATCH_HEAD.to_owned() + &chunk(&lost_page()[..20]) + "0\r\n\r\n";
    assert_recovers("last-chunk", &whole, |_| {});
}

#[test]
fn a_discovery_later_than_the_usual_silence_is_heard_at_last() {
    let relay = ServingRelay::start(RelayDelays::default());
    let discovery = ScriptedDiscovery::serving(Duration::from_secs(5), chunk(&full_page(50)));
    let _steward = start_steward("late-list", |listen| {
        file_with_hosts(listen, relay.address, discovery, &[instance("s-1", "ready")])
    });
    eventually("the list counts", || relay.has_call_with("\"s-3\""));
}

fn memory_mb(steward: &Steward) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", steward.child.id())).expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("told");
    line.trim().split(' ').next().and_then(|kilobytes| kilobytes.parse::<u64>().ok()).expect("a number") >> 10
}

/// A watch on which lines come without end.
struct Flood {
    stop: Arc<AtomicBool>,
    sending: JoinHandle<u64>,
}

impl Flood {
    fn start(mut watch: Watch, next_lines: impl Fn(u64) -> String + Send + 'static) -> Flood {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let sending = std::thread::spawn(move || {
            watch.send(WATCH_HEAD);
            let mut generation = 50;
            while !stopped.load(Ordering::Acquire) {
                watch.send(&next_lines(generation));
                generation += 1;
            }
            watch.send(&chunk(&full_page(generation)));
            watch.keep_alive();
            generation
        });
        Flood { stop, sending }
    }

    /// Ends in a full list; its number.
    fn end(self) -> u64 {
        self.stop.store(true, Ordering::Release);
        self.sending.join().expect("the watch stands")
    }
}

/// Pings a steward while discovery sends without end and the relay is away; then the relay is there and the last list must
/// count. The most memory the steward had, in MB.
fn flood(name: &str, next_lines: impl Fn(u64) -> String + Send + 'static) -> u64 {
    let relay = own_address();
    let discovery = ScriptedDiscovery::open();
    let steward = start_steward(name, |listen| file_text(listen, relay, discovery.address));
    let flood = Flood::start(discovery.watch(), next_lines);
    let began = Instant::now();
    let (mut pings, mut most) = (0, 0);
    while pings < 20 || began.elapsed() < FLOOD_SPAN {
        let mut visitor = TcpStream::connect(steward.listen).expect("listens");
        assert!(ping(&mut visitor), "it answers while discovery floods it");
        pings += 1;
        most = most.max(memory_mb(&steward));
    }
    let relay = ServingRelay::start_at(relay, RelayDelays::default());
    let generation = flood.end();
    eventually("the last list counts", || relay.has_call_with("\"s-3\""));
    eprintln!("{name}: {generation} generations, {pings} pings, memory at most {most} MB");
    most
}

/// Pages of many hosts, the same ones under every second number.
fn large_pages(reset: bool) -> impl Fn(u64) -> String {
    let hosts = host_list(2 * MANY_HOSTS);
    let (first, second) = hosts.split_at(MANY_HOSTS);
    let templates = [first, second].map(|hosts| page(0, reset, hosts));
    move |generation| {
        let template = &templates[usize::from(generation % 2 == 0)];
        chunk(&template.replacen("\"generation\":0", &format!("\"generation\":{generation}"), 1))
    }
}

#[test]
fn whole_lists_without_end_leave_memory_bounded_and_the_steward_answering() {
    let most = flood("flood-lists", large_pages(true));
    assert!(most <= MAX_FLOOD_MEMORY_MB, "{most} MB");
}

#[test]
fn large_changes_without_end_leave_memory_bounded_and_the_steward_answering() {
    let most = flood("flood-changes", large_pages(false));
    assert!(most <= MAX_FLOOD_MEMORY_MB, "{most} MB");
}

#[test]
fn empty_lines_without_end_leave_the_steward_answering() {
    let many = chunk("\n").repeat(10_000);
    flood("flood-empty", move |_| many.clone());
}

/// A new file and the signal that it is there.
fn move_to(steward: &Steward, relay: SocketAddr, discovery: SocketAddr) {
    std::fs::write(&steward.file, file_text(steward.listen, relay, discovery)).expect("writable");
    steward.signal(libc::SIGHUP);
}

#[test]
fn sigterm_after_a_move_to_a_silent_discovery_ends_it_well_at_once() {
    let relay = ServingRelay::start(RelayDelays::default());
    let (old, new) = (ScriptedDiscovery::open(), ScriptedDiscovery::open());
    let mut steward = start_steward("move-and-end", |listen| file_text(listen, relay.address, old.address));
    let mut old_watch = old.watch();
    old_watch.send(&(WATCH_HEAD.to_owned() + &chunk("\n")));
    move_to(&steward, relay.address, new.address);
    let _unanswered = new.watch();
    steward.signal(libc::SIGTERM);
    let began = Instant::now();
    eventually("it ends", || steward.ended().is_some());
    assert_eq!(steward.ended().and_then(|status| status.code()), Some(0));
    assert!(began.elapsed() < TERM_GRACE, "{:?}", began.elapsed());
}

/// A steward that has moved to a discovery which has not answered yet; the older one's watch still stands.
struct Moved {
    relay: ScriptedRelay,
    steward: Steward,
    /// To the subscription that stands.
    news: TcpStream,
    old_watch: Watch,
    new: ScriptedDiscovery,
    new_watch: Watch,
}

impl Moved {
    fn start(name: &str) -> Moved {
        let relay = ScriptedRelay::open();
        let (old, new) = (ScriptedDiscovery::open(), ScriptedDiscovery::open());
        let steward = start_steward(name, |listen| file_text(listen, relay.address, old.address));
        let mut old_watch = old.watch();
        old_watch.send(&(WATCH_HEAD.to_owned() + &chunk("\n")));
        let _of_the_older_file = relay.subscriber();
        move_to(&steward, relay.address, new.address);
        let mut news = relay.subscriber();
        news.send(&snapshot());
        eventually("it orders", || relay.has_call_with("\"table\":3"));
        let new_watch = new.watch();
        let writer = news.writer();
        news.keep_alive();
        Moved { relay, steward, news: writer, old_watch, new, new_watch }
    }

    /// The steward finds what is sent meanwhile at once, in the order in which it was sent.
    fn while_stopped(&mut self, send: impl FnOnce(&mut Watch, &mut Watch)) {
        self.steward.signal(libc::SIGSTOP);
        send(&mut self.old_watch, &mut self.new_watch);
        self.steward.signal(libc::SIGCONT);
        self.old_watch.stream.set_read_timeout(Some(PATIENCE)).expect("a time");
        // Ended or reset, but not left open.
        let ended = self.old_watch.stream.read(&mut [0]);
        assert!(
            !ended.is_err_and(|fault| fault.kind() == std::io::ErrorKind::WouldBlock),
            "the old watch ends"
        );
    }

    /// Whether a slice that `s-1` owns is moved off it, as from a host that drains.
    fn assert_drains(&mut self) {
        self.news.write_all(slice_with_owner(5, "s-1").as_bytes()).expect("the steward reads");
        eventually("a call about slice 5", || self.relay.has_call_with("\"table\":5"));
        let calls = self.relay.calls.lock().expect("alive").clone();
        let about = |call: &&(Instant, String)| call.1.contains("\"table\":5");
        let first = calls.iter().find(about).expect("there is one");
        assert!(first.1.contains(r#""table":5,"server":"s-2","weight":1"#), "{}", first.1);
    }
}

fn drain(generation: u64) -> String {
    chunk(&page(generation, false, &[instance("s-1", "draining")]))
}

fn all_ready(generation: u64) -> String {
    chunk(&page(generation, true, &[instance("s-1", "ready"), instance("s-2", "ready")]))
}

#[test]
fn a_drain_told_by_the_new_discovery_is_not_undone_by_a_later_word_of_the_old_one() {
    let mut moved = Moved::start("drain-then-old");
    moved.while_stopped(|old, new| {
        new.send(&(WATCH_HEAD.to_owned() + &drain(43)));
        old.send(&all_ready(60));
    });
    moved.assert_drains();
}

#[test]
fn a_drain_told_by_the_new_discovery_that_an_old_word_overtook_is_asked_for_again() {
    let mut moved = Moved::start("old-then-drain");
    moved.while_stopped(|old, new| {
        old.send(&all_ready(60));
        new.send(&(WATCH_HEAD.to_owned() + &drain(43)));
    });
    // It stays open and alive: silence is not what ends it.
    moved.new_watch.another_hold().keep_alive();
    let mut again = moved.new.watch();
    assert!(again.request.contains("after=60 "), "{}", again.request);
    again.send(&(WATCH_HEAD.to_owned() + &drain(61)));
    again.send(&chunk("\n"));
    eventually("the slice leaves the host that drains", || {
        moved.relay.has_call_with(r#""table":3,"server":"s-2","weight":1"#)
    });
    moved.assert_drains();
    again.keep_alive();
}

#[test]
fn a_drain_told_by_a_new_discovery_with_lower_numbers_counts_once_the_old_ones_word_has_aged() {
    let mut moved = Moved::start("lower-numbers");
    let list = chunk(&page(3, true, &[instance("s-1", "draining"), instance("s-2", "ready")]));
    moved.while_stopped(|old, new| {
        old.send(&all_ready(60));
        new.send(&(WATCH_HEAD.to_owned() + &list));
    });
    std::mem::replace(&mut moved.new, ScriptedDiscovery::open()).serve(Duration::ZERO, list);
    eventually("the slice leaves the host that drains", || {
        moved.relay.has_call_with(r#""table":3,"server":"s-2","weight":1"#)
    });
    moved.assert_drains();
}
