//! A discovery that breaks off or falls silent anywhere in its answer, floods the steward with lists, or is replaced by
//! another one. What counts in the end is seen in the orders at a scripted relay.
mod common;
#[path = "common/scripted.rs"]
mod scripted;

use common::{config_text, eventually, ping, Controller, EVENT_TIMEOUT};
use scripted::{
    chunk, exclusive_address, file_with_hosts, host_list, instance, page, slice_with_owner, snapshot,
    start_controller, RelayDelays, ScriptedDiscovery, ScriptedRelay, ServingRelay, Watch, WATCH_HEAD,
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
const EXIT_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a flood lasts.
const FLOOD_DURATION: Duration = Duration::from_secs(4);
/// Of a process that needs some 10 MB; pages that waited without bound would take hundreds.
const MAX_FLOOD_MEMORY_MB: u64 = 20;

/// A list that must not count: it names `s-9`, which no other does.
fn discarded_page() -> String {
    page(44, true, &[instance("s-1", "ready"), instance("s-9", "ready"), instance("s-1", "ready")])
}

/// The list that counts in the end: `s-3` takes the place of `s-2`.
fn final_page(generation: u64) -> String {
    page(generation, true, &[instance("s-1", "ready"), instance("s-3", "ready")])
}

/// The first watch gets a part of an answer, then its end; the next must ask for the same and count whole.
fn assert_recovers(case: &str, part: &str, end: impl FnOnce(&mut Watch)) {
    let relay = ServingRelay::start(RelayDelays::default());
    let discovery = ScriptedDiscovery::open();
    let _controller = start_controller(&format!("fault-{case}"), |listen| {
        config_text(listen, relay.address, discovery.address)
    });
    let mut broken = discovery.watch();
    broken.send(part);
    end(&mut broken);
    let mut next = discovery.watch();
    assert!(next.request.contains("after=41 "), "{case}: {}", next.request);
    next.send(&(WATCH_HEAD.to_owned() + &chunk(&final_page(50))));
    next.keep_alive();
    eventually(&format!("{case}: the full list counts"), || relay.has_call_with("\"s-3\""));
    assert!(!relay.has_call_with("\"s-9\""), "{case}: a part of a list counted");
}

/// Answers that break off: where, and what was sent by then.
fn truncated_responses() -> Vec<(&'static str, String)> {
    let whole = discarded_page();
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
fn a_response_cut_off_anywhere_is_discarded_and_requested_again() {
    for (place, part) in truncated_responses() {
        assert_recovers(&format!("closed-{place}"), &part, |watch| {
            watch.stream.shutdown(Shutdown::Both).expect("open");
        });
    }
}

#[test]
fn a_response_silent_anywhere_is_discarded_and_requested_again() {
    // Each waits for the same silence, so they do it side by side; the broken connections stay open until the end.
    std::thread::scope(|scope| {
        for (place, part) in truncated_responses() {
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
fn a_response_that_ends_within_a_page_is_requested_again() {
    let whole = WATCH_HEAD.to_owned() + &chunk(&discarded_page()[..20]) + "0\r\n\r\n";
    assert_recovers("last-chunk", &whole, |_| {});
}

#[test]
fn a_discovery_slower_than_the_usual_timeout_takes_effect() {
    let relay = ServingRelay::start(RelayDelays::default());
    let discovery = ScriptedDiscovery::serving(Duration::from_secs(5), chunk(&final_page(50)));
    let _controller = start_controller("late-list", |listen| {
        file_with_hosts(listen, relay.address, discovery, &[instance("s-1", "ready")])
    });
    eventually("the list counts", || relay.has_call_with("\"s-3\""));
}

fn memory_mb(controller: &Controller) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", controller.child.id())).expect("a process");
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
            watch.send(&chunk(&final_page(generation)));
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
fn measure_flood_memory(name: &str, next_lines: impl Fn(u64) -> String + Send + 'static) -> u64 {
    let relay = exclusive_address();
    let discovery = ScriptedDiscovery::open();
    let controller = start_controller(name, |listen| config_text(listen, relay, discovery.address));
    let flood = Flood::start(discovery.watch(), next_lines);
    let began = Instant::now();
    let (mut pings, mut most) = (0, 0);
    while pings < 20 || began.elapsed() < FLOOD_DURATION {
        let mut visitor = TcpStream::connect(controller.listen).expect("listens");
        assert!(ping(&mut visitor), "it answers while discovery floods it");
        pings += 1;
        most = most.max(memory_mb(&controller));
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
fn memory_stays_bounded_during_a_flood_of_complete_lists() {
    let most = measure_flood_memory("flood-lists", large_pages(true));
    assert!(most <= MAX_FLOOD_MEMORY_MB, "{most} MB");
}

#[test]
fn memory_stays_bounded_during_a_flood_of_large_changes() {
    let most = measure_flood_memory("flood-changes", large_pages(false));
    assert!(most <= MAX_FLOOD_MEMORY_MB, "{most} MB");
}

#[test]
fn controller_answers_pings_during_a_flood_of_empty_lines() {
    let many = chunk("\n").repeat(10_000);
    measure_flood_memory("flood-empty", move |_| many.clone());
}

/// A new file and the signal that it is there.
fn reload_config(controller: &Controller, relay: SocketAddr, discovery: SocketAddr) {
    std::fs::write(&controller.config_file, config_text(controller.listen, relay, discovery))
        .expect("writable");
    controller.signal(libc::SIGHUP);
}

#[test]
fn sigterm_with_a_pending_watch_exits_with_0_in_time() {
    let relay = ServingRelay::start(RelayDelays::default());
    let (old, new) = (ScriptedDiscovery::open(), ScriptedDiscovery::open());
    let mut controller =
        start_controller("move-and-end", |listen| config_text(listen, relay.address, old.address));
    let mut old_watch = old.watch();
    old_watch.send(&(WATCH_HEAD.to_owned() + &chunk("\n")));
    reload_config(&controller, relay.address, new.address);
    let _unanswered = new.watch();
    controller.signal(libc::SIGTERM);
    let began = Instant::now();
    eventually("it ends", || controller.exit_status().is_some());
    assert_eq!(controller.exit_status().and_then(|status| status.code()), Some(0));
    assert!(began.elapsed() < EXIT_TIMEOUT, "{:?}", began.elapsed());
}

/// A steward that has moved to a discovery which has not answered yet; the older one's watch still stands.
struct ReloadedController {
    relay: ScriptedRelay,
    controller: Controller,
    /// To the subscription that stands.
    subscription: TcpStream,
    old_watch: Watch,
    new: ScriptedDiscovery,
    new_watch: Watch,
}

impl ReloadedController {
    fn start(name: &str) -> ReloadedController {
        let relay = ScriptedRelay::open();
        let (old, new) = (ScriptedDiscovery::open(), ScriptedDiscovery::open());
        let controller = start_controller(name, |listen| config_text(listen, relay.address, old.address));
        let mut old_watch = old.watch();
        old_watch.send(&(WATCH_HEAD.to_owned() + &chunk("\n")));
        let _of_the_older_file = relay.subscriber();
        reload_config(&controller, relay.address, new.address);
        let mut subscription = relay.subscriber();
        subscription.send(&snapshot());
        eventually("it orders", || relay.has_call_with("\"table\":3"));
        let new_watch = new.watch();
        let writer = subscription.writer();
        subscription.keep_alive();
        ReloadedController { relay, controller, subscription: writer, old_watch, new, new_watch }
    }

    /// The steward finds what is sent meanwhile at once, in the order in which it was sent.
    fn send_while_stopped(&mut self, send: impl FnOnce(&mut Watch, &mut Watch)) {
        self.controller.signal(libc::SIGSTOP);
        send(&mut self.old_watch, &mut self.new_watch);
        self.controller.signal(libc::SIGCONT);
        self.old_watch.stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a time");
        // Ended or reset, but not left open.
        let ended = self.old_watch.stream.read(&mut [0]);
        assert!(
            !ended.is_err_and(|fault| fault.kind() == std::io::ErrorKind::WouldBlock),
            "the old watch ends"
        );
    }

    /// Whether a slice that `s-1` owns is moved off it, as from a host that drains.
    fn assert_host_drains(&mut self) {
        self.subscription.write_all(slice_with_owner(5, "s-1").as_bytes()).expect("the steward reads");
        eventually("a call about slice 5", || self.relay.has_call_with("\"table\":5"));
        let calls = self.relay.calls.lock().expect("alive").clone();
        let about = |call: &&(Instant, String)| call.1.contains("\"table\":5");
        let first = calls.iter().find(about).expect("there is one");
        assert!(first.1.contains(r#""table":5,"server":"s-2","weight":1"#), "{}", first.1);
    }
}

fn drain_page(generation: u64) -> String {
    chunk(&page(generation, false, &[instance("s-1", "draining")]))
}

fn all_ready_page(generation: u64) -> String {
    chunk(&page(generation, true, &[instance("s-1", "ready"), instance("s-2", "ready")]))
}

#[test]
fn a_drain_from_new_discovery_survives_a_later_old_page() {
    let mut reloaded = ReloadedController::start("drain-then-old");
    reloaded.send_while_stopped(|old, new| {
        new.send(&(WATCH_HEAD.to_owned() + &drain_page(43)));
        old.send(&all_ready_page(60));
    });
    reloaded.assert_host_drains();
}

#[test]
fn a_drain_overtaken_by_an_old_page_is_requested_again() {
    let mut reloaded = ReloadedController::start("old-then-drain");
    reloaded.send_while_stopped(|old, new| {
        old.send(&all_ready_page(60));
        new.send(&(WATCH_HEAD.to_owned() + &drain_page(43)));
    });
    // It stays open and alive: silence is not what ends it.
    reloaded.new_watch.clone_handle().keep_alive();
    let mut again = reloaded.new.watch();
    assert!(again.request.contains("after=60 "), "{}", again.request);
    again.send(&(WATCH_HEAD.to_owned() + &drain_page(61)));
    again.send(&chunk("\n"));
    eventually("the slice leaves the host that drains", || {
        reloaded.relay.has_call_with(r#""table":3,"server":"s-2","weight":1"#)
    });
    reloaded.assert_host_drains();
    again.keep_alive();
}

#[test]
fn a_lower_generation_is_accepted_once_the_known_list_has_aged() {
    let mut reloaded = ReloadedController::start("lower-numbers");
    let list = chunk(&page(3, true, &[instance("s-1", "draining"), instance("s-2", "ready")]));
    reloaded.send_while_stopped(|old, new| {
        old.send(&all_ready_page(60));
        new.send(&(WATCH_HEAD.to_owned() + &list));
    });
    std::mem::replace(&mut reloaded.new, ScriptedDiscovery::open()).serve(Duration::ZERO, list);
    eventually("the slice leaves the host that drains", || {
        reloaded.relay.has_call_with(r#""table":3,"server":"s-2","weight":1"#)
    });
    reloaded.assert_host_drains();
}
