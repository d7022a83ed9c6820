//! A discovery that disconnects or goes silent at any point of its response, floods the controller with lists, or is
//! replaced by another one. The commands at a scripted relay show which endpoint list the controller uses.
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

/// The number of hosts of a large site.
const MANY_HOSTS: usize = 2800;
/// The platform may kill a controller this long after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_millis(700);

/// How long discovery sends without pause.
const FLOOD_DURATION: Duration = Duration::from_secs(4);
/// The process needs some 10 MB otherwise; an unbounded queue of pages would take hundreds.
const MAX_FLOOD_MEMORY_MB: u64 = 20;

/// A list that the controller must discard, as it is received only in part. It alone has the host `s-9`.
fn discarded_page() -> String {
    page(44, true, &[instance("s-1", "ready"), instance("s-9", "ready"), instance("s-1", "ready")])
}

/// The list that must take effect: `s-3` replaces `s-2`.
fn final_page(generation: u64) -> String {
    page(generation, true, &[instance("s-1", "ready"), instance("s-3", "ready")])
}

/// The first watch gets a part of a response and is then interrupted. The next watch must request the same page, and
/// its complete list must take effect.
fn assert_recovers(case: &str, part: &str, interrupt: impl FnOnce(&mut Watch)) {
    let relay = ServingRelay::start(RelayDelays::default());
    let discovery = ScriptedDiscovery::open();
    let _controller = start_controller(&format!("fault-{case}"), |listen| {
        config_text(listen, relay.address, discovery.address)
    });
    let mut interrupted = discovery.watch();
    interrupted.send(part);
    interrupt(&mut interrupted);
    let mut next = discovery.watch();
    assert!(next.request.contains("after=41 "), "{case}: {}", next.request);
    next.send(&(WATCH_HEAD.to_owned() + &chunk(&final_page(50))));
    next.keep_alive();
    eventually(&format!("{case}: the complete list takes effect"), || relay.has_call_with("\"s-3\""));
    assert!(!relay.has_call_with("\"s-9\""), "{case}: a partly received list took effect");
}

/// Truncated responses: the place at which each is cut, and what was sent before.
fn truncated_responses() -> Vec<(&'static str, String)> {
    let complete = discarded_page();
    let half_line = &complete[..complete.rfind("s-1").expect("the page has s-1 twice")];
    let chunked = chunk(&complete);
    let half_chunk = &chunked[..chunked.rfind("s-1").expect("the page has s-1 twice")];
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
            watch.stream.shutdown(Shutdown::Both).expect("the connection is open");
        });
    }
}

#[test]
fn a_response_silent_anywhere_is_discarded_and_requested_again() {
    // All cases wait for the same timeout, so they run in parallel; the silent connections stay open until the end.
    std::thread::scope(|scope| {
        for (place, part) in truncated_responses() {
            scope.spawn(move || {
                let mut open = None;
                let keep_open = |watch: &mut Watch| {
                    open = Some(watch.stream.try_clone().expect("the stream can be cloned"))
                };
                assert_recovers(&format!("silent-{place}"), &part, keep_open);
                drop(open);
            });
        }
    });
}

#[test]
fn a_response_that_ends_within_a_page_is_requested_again() {
    let response = WATCH_HEAD.to_owned() + &chunk(&discarded_page()[..20]) + "0\r\n\r\n";
    assert_recovers("last-chunk", &response, |_| {});
}

#[test]
fn a_discovery_slower_than_the_usual_timeout_takes_effect() {
    let relay = ServingRelay::start(RelayDelays::default());
    let discovery = ScriptedDiscovery::serving(Duration::from_secs(5), chunk(&final_page(50)));
    let _controller = start_controller("late-list", |listen| {
        file_with_hosts(listen, relay.address, discovery, &[instance("s-1", "ready")])
    });
    eventually("the list takes effect", || relay.has_call_with("\"s-3\""));
}

fn memory_mb(controller: &Controller) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", controller.child.id())).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("the status has RssAnon");
    line.trim()
        .split(' ')
        .next()
        .and_then(|kilobytes| kilobytes.parse::<u64>().ok())
        .expect("RssAnon is a number")
        >> 10
}

/// A watch on which discovery sends without pause.
struct Flood {
    stop: Arc<AtomicBool>,
    sender: JoinHandle<u64>,
}

impl Flood {
    fn start(mut watch: Watch, next_lines: impl Fn(u64) -> String + Send + 'static) -> Flood {
        let stop = Arc::new(AtomicBool::new(false));
        let is_stopped = stop.clone();
        let sender = std::thread::spawn(move || {
            watch.send(WATCH_HEAD);
            let mut generation = 50;
            while !is_stopped.load(Ordering::Acquire) {
                watch.send(&next_lines(generation));
                generation += 1;
            }
            watch.send(&chunk(&final_page(generation)));
            watch.keep_alive();
            generation
        });
        Flood { stop, sender }
    }

    /// Stops the flood with a complete list; returns the generation of that list.
    fn end(self) -> u64 {
        self.stop.store(true, Ordering::Release);
        self.sender.join().expect("the watch stays open")
    }
}

/// Pings a controller while discovery sends without pause and the relay is unreachable. Then the relay starts, and the
/// last list must take effect. Returns the greatest memory that the controller used, in MB.
fn measure_flood_memory(name: &str, next_lines: impl Fn(u64) -> String + Send + 'static) -> u64 {
    let relay = exclusive_address();
    let discovery = ScriptedDiscovery::open();
    let controller = start_controller(name, |listen| config_text(listen, relay, discovery.address));
    let flood = Flood::start(discovery.watch(), next_lines);
    let started_at = Instant::now();
    let (mut pings, mut peak_mb) = (0, 0);
    while pings < 20 || started_at.elapsed() < FLOOD_DURATION {
        let mut stream = TcpStream::connect(controller.listen).expect("the controller listens");
        assert!(ping(&mut stream), "the controller did not answer a ping during the flood");
        pings += 1;
        peak_mb = peak_mb.max(memory_mb(&controller));
    }
    let relay = ServingRelay::start_at(relay, RelayDelays::default());
    let generation = flood.end();
    eventually("the last list takes effect", || relay.has_call_with("\"s-3\""));
    eprintln!("{name}: {generation} generations, {pings} pings, memory at most {peak_mb} MB");
    peak_mb
}

/// Pages of many hosts; even and odd generations have different hosts.
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
    let peak_mb = measure_flood_memory("flood-lists", large_pages(true));
    assert!(peak_mb <= MAX_FLOOD_MEMORY_MB, "{peak_mb} MB");
}

#[test]
fn memory_stays_bounded_during_a_flood_of_large_changes() {
    let peak_mb = measure_flood_memory("flood-changes", large_pages(false));
    assert!(peak_mb <= MAX_FLOOD_MEMORY_MB, "{peak_mb} MB");
}

#[test]
fn controller_answers_pings_during_a_flood_of_empty_lines() {
    let lines = chunk("\n").repeat(10_000);
    measure_flood_memory("flood-empty", move |_| lines.clone());
}

/// Writes a configuration with these addresses and signals the controller to reload it.
fn reload_config(controller: &Controller, relay: SocketAddr, discovery: SocketAddr) {
    std::fs::write(&controller.config_file, config_text(controller.listen, relay, discovery))
        .expect("the temporary folder is writable");
    controller.signal(libc::SIGHUP);
}

#[test]
fn sigterm_with_a_pending_watch_exits_with_0_in_time() {
    let relay = ServingRelay::start(RelayDelays::default());
    let (old, new) = (ScriptedDiscovery::open(), ScriptedDiscovery::open());
    let mut controller =
        start_controller("reload-and-exit", |listen| config_text(listen, relay.address, old.address));
    let mut old_watch = old.watch();
    old_watch.send(&(WATCH_HEAD.to_owned() + &chunk("\n")));
    reload_config(&controller, relay.address, new.address);
    let _pending_watch = new.watch();
    controller.signal(libc::SIGTERM);
    let signalled_at = Instant::now();
    eventually("the controller exits", || controller.exit_status().is_some());
    assert_eq!(controller.exit_status().and_then(|status| status.code()), Some(0));
    assert!(signalled_at.elapsed() < EXIT_TIMEOUT, "exited after {:?}", signalled_at.elapsed());
}

/// A controller that has reloaded to a new discovery, which has not responded yet; the watch at the old discovery is
/// still open.
struct ReloadedController {
    relay: ScriptedRelay,
    controller: Controller,
    /// Writes to the open relay subscription.
    subscription: TcpStream,
    old_watch: Watch,
    new_discovery: ScriptedDiscovery,
    new_watch: Watch,
}

impl ReloadedController {
    fn start(name: &str) -> ReloadedController {
        let relay = ScriptedRelay::open();
        let (old, new) = (ScriptedDiscovery::open(), ScriptedDiscovery::open());
        let controller = start_controller(name, |listen| config_text(listen, relay.address, old.address));
        let mut old_watch = old.watch();
        old_watch.send(&(WATCH_HEAD.to_owned() + &chunk("\n")));
        let _old_subscription = relay.subscriber();
        reload_config(&controller, relay.address, new.address);
        let mut subscription = relay.subscriber();
        subscription.send(&snapshot());
        eventually("the relay gets a command", || relay.has_call_with("\"table\":3"));
        let new_watch = new.watch();
        let writer = subscription.writer();
        subscription.keep_alive();
        ReloadedController {
            relay,
            controller,
            subscription: writer,
            old_watch,
            new_discovery: new,
            new_watch,
        }
    }

    /// Sends while the controller is stopped, so that it then finds all messages at once, in the order of sending.
    fn send_while_stopped(&mut self, send: impl FnOnce(&mut Watch, &mut Watch)) {
        self.controller.signal(libc::SIGSTOP);
        send(&mut self.old_watch, &mut self.new_watch);
        self.controller.signal(libc::SIGCONT);
        self.old_watch.stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("timeout is set");
        // The old watch may be closed or reset; a read timeout means that it was left open.
        let result = self.old_watch.stream.read(&mut [0]);
        assert!(
            !result.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock),
            "the old watch was left open"
        );
    }

    /// Asserts that a slice owned by `s-1` is moved to another host, since `s-1` is draining.
    fn assert_host_drains(&mut self) {
        self.subscription
            .write_all(slice_with_owner(5, "s-1").as_bytes())
            .expect("the controller keeps the connection open");
        eventually("a call about slice 5", || self.relay.has_call_with("\"table\":5"));
        let calls = self.relay.calls.lock().expect("the call log is not poisoned").clone();
        let is_about_slice_5 = |call: &&(Instant, String)| call.1.contains("\"table\":5");
        let first = calls.iter().find(is_about_slice_5).expect("a call about slice 5 arrived");
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
    // The new watch stays open and gets messages, so the controller does not close it for silence.
    reloaded.new_watch.clone_handle().keep_alive();
    let mut next_watch = reloaded.new_discovery.watch();
    assert!(next_watch.request.contains("after=60 "), "{}", next_watch.request);
    next_watch.send(&(WATCH_HEAD.to_owned() + &drain_page(61)));
    next_watch.send(&chunk("\n"));
    eventually("the slice leaves the draining host", || {
        reloaded.relay.has_call_with(r#""table":3,"server":"s-2","weight":1"#)
    });
    reloaded.assert_host_drains();
    next_watch.keep_alive();
}

#[test]
fn a_lower_generation_is_accepted_once_the_known_list_has_aged() {
    let mut reloaded = ReloadedController::start("lower-numbers");
    let list = chunk(&page(3, true, &[instance("s-1", "draining"), instance("s-2", "ready")]));
    reloaded.send_while_stopped(|old, new| {
        old.send(&all_ready_page(60));
        new.send(&(WATCH_HEAD.to_owned() + &list));
    });
    std::mem::replace(&mut reloaded.new_discovery, ScriptedDiscovery::open()).serve(Duration::ZERO, list);
    eventually("the slice leaves the draining host", || {
        reloaded.relay.has_call_with(r#""table":3,"server":"s-2","weight":1"#)
    });
    reloaded.assert_host_drains();
}
