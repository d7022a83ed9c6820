//! Two events that cross at the steward of the platform, as a process on loopback. A scripted relay or discovery holds
//! its answer, cuts or speaks where the test says, so that each crossing comes about every time.
mod common;

use common::{config_text, eventually, free_address, Controller, EVENT_TIMEOUT};
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::OpenOptionsExt;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

/// A connection that came to a listener of ours, and the lines that it brings.
struct Peer {
    stream: TcpStream,
    lines: Receiver<String>,
}

impl Peer {
    fn new(stream: TcpStream) -> Peer {
        let (sender, lines) = channel();
        let reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        std::thread::spawn(move || {
            reader.lines().map_while(Result::ok).take_while(|line| sender.send(line.clone()).is_ok()).count();
        });
        Peer { stream, lines }
    }

    fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the steward reads");
    }

    fn next_line(&self, what: &str) -> String {
        self.lines.recv_timeout(EVENT_TIMEOUT).unwrap_or_else(|_| panic!("not in time: {what}"))
    }

    /// Waits for the steward to end the connection, and hands back what it said before.
    fn wait_for_close(&self) -> Vec<String> {
        let mut said = Vec::new();
        loop {
            match self.lines.recv_timeout(EVENT_TIMEOUT) {
                Ok(line) => said.push(line),
                Err(RecvTimeoutError::Disconnected) => return said,
                Err(RecvTimeoutError::Timeout) => panic!("the connection is not ended"),
            }
        }
    }
}

fn call_id(line: &str) -> &str {
    line.split("\"id\":").nth(1).and_then(|rest| rest.split([',', '}']).next()).expect("an id")
}

fn proxy_joined(proxy: u16) -> String {
    notification("joined", &format!(r#"{{"proxy":{proxy},"zone":"a","weight":2,"fresh":true}}"#))
}

fn slice_assigned(slice: u16) -> String {
    notification("given", &format!(r#"{{"slice":{slice},"on":true}}"#))
}

fn table_entry(slice: u16, host: &str, weight: f64) -> String {
    notification("held", &format!(r#"{{"slice":{slice},"server":"{host}","weight":{weight}}}"#))
}

fn notification(method: &str, params: &str) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"method\":\"{method}\",\"params\":{params}}}\n")
}

const PING: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";

/// A relay that does what the test says. Connections that subscribe and those that call come apart.
struct Relay {
    address: SocketAddr,
    subscribers: Receiver<Peer>,
    callers: Receiver<(Peer, String)>,
}

impl Relay {
    fn open() -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let ((subscriber, subscribers), (caller, callers)) = (channel(), channel());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (subscriber, caller): (Sender<Peer>, Sender<(Peer, String)>) =
                    (subscriber.clone(), caller.clone());
                std::thread::spawn(move || {
                    let peer = Peer::new(stream);
                    let Ok(first) = peer.lines.recv() else { return };
                    let _ = if first.contains("\"subscribe\"") {
                        subscriber.send(peer).is_ok()
                    } else {
                        caller.send((peer, first)).is_ok()
                    };
                });
            }
        });
        Relay { address, subscribers, callers }
    }

    /// The next that asked for news; nothing is answered yet.
    fn subscriber(&self) -> Peer {
        self.subscribers.recv_timeout(EVENT_TIMEOUT).expect("a subscription in time")
    }

    /// The next connection for calls, with its first call.
    fn caller(&self) -> (Peer, String) {
        self.callers.recv_timeout(EVENT_TIMEOUT).expect("a call in time")
    }

    fn assert_no_call_within(&self, span: Duration) {
        assert!(self.callers.recv_timeout(span).is_err(), "nothing is to be ordered");
    }
}

fn subscription_response() -> String {
    "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":true}\n".to_owned()
}

/// What stands at first: proxy 1, and slice 3 with the owner s-1.
fn initial_snapshot() -> String {
    subscription_response() + &proxy_joined(1) + &slice_assigned(3) + &table_entry(3, "s-1", 1.0) + PING
}

/// The same, once the relay has taken the standby that the steward orders.
fn snapshot_with_standby() -> String {
    subscription_response()
        + &proxy_joined(1)
        + &slice_assigned(3)
        + &table_entry(3, "s-1", 1.0)
        + &table_entry(3, "s-2", 0.0)
        + PING
}

fn all_accepted(call: &str) -> String {
    format!("{{\"id\":{},\"result\":{{\"taken\":{}}}}}\n", call_id(call), call.matches("\"op\"").count())
}

/// A discovery that answers each watch with empty lines, or says what the test says.
struct Discovery {
    address: SocketAddr,
    watches: Receiver<(TcpStream, String)>,
}

impl Discovery {
    fn open() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (sender, watches) = channel();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || {
                    let mut ask = String::new();
                    let _ = BufReader::new(&stream).read_line(&mut ask);
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
                    let _ = sender.send((stream, ask));
                });
            }
        });
        Discovery { address, watches }
    }

    fn watch(&self) -> (TcpStream, String) {
        self.watches.recv_timeout(EVENT_TIMEOUT).expect("a watch in time")
    }

    /// Keeps every watch alive with empty lines.
    fn idle() -> SocketAddr {
        let discovery = Discovery::open();
        let address = discovery.address;
        std::thread::spawn(move || {
            for (mut stream, _) in discovery.watches {
                std::thread::spawn(move || {
                    while stream.write_all(b"1\r\n\n\r\n").is_ok() {
                        std::thread::sleep(Duration::from_millis(300));
                    }
                });
            }
        });
        address
    }
}

/// A new file and the signal that it is there.
fn reload_config(controller: &Controller, relay: SocketAddr, discovery: SocketAddr) {
    std::fs::write(&controller.config_file, config_text(controller.listen, relay, discovery))
        .expect("writable");
    controller.signal(libc::SIGHUP);
}

/// How it ended, and within what.
fn wait_for_exit(controller: &mut Controller) -> (Option<i32>, Duration) {
    let began = Instant::now();
    eventually("it ends", || controller.exit_status().is_some());
    (controller.exit_status().and_then(|status| status.code()), began.elapsed())
}

/// A steward whose first call, the standby of slice 3, is out.
fn start_with_pending_call(name: &str) -> (Relay, Controller, Peer, Peer, String) {
    let relay = Relay::open();
    let controller = Controller::start(name, relay.address, Discovery::idle());
    let mut subscription = relay.subscriber();
    subscription.send(&initial_snapshot());
    let (caller, call) = relay.caller();
    assert!(call.contains(r#"{"op":"share","table":3,"server":"s-2","weight":0.0001}"#), "{call}");
    (relay, controller, subscription, caller, call)
}

#[test]
fn an_executed_call_without_a_valid_response_is_not_repeated() {
    let ends: [fn(&mut Peer); 2] = [
        |caller| caller.send("{\"id\":\u{1}\n"),
        |caller| caller.stream.shutdown(std::net::Shutdown::Both).expect("open"),
    ];
    for (n, end) in ends.into_iter().enumerate() {
        let (relay, _controller, _subscription, mut caller, _) =
            start_with_pending_call(&format!("carried-{n}"));
        end(&mut caller);
        // The relay has the line: whatever follows the new telling must not have it again.
        let mut subscription = relay.subscriber();
        subscription.send(&snapshot_with_standby());
        subscription.send(&(slice_assigned(5) + &table_entry(5, "s-1", 1.0)));
        let (_, next) = relay.caller();
        assert!(next.contains("\"table\":5") && !next.contains("\"table\":3"), "{next}");
    }
}

#[test]
fn a_lost_call_is_repeated_only_after_the_next_snapshot() {
    let (relay, _controller, _subscription, caller, call) = start_with_pending_call("lost");
    drop(caller);
    let mut subscription = relay.subscriber();
    relay.assert_no_call_within(Duration::from_millis(700));
    subscription.send(&initial_snapshot());
    let (mut caller, again) = relay.caller();
    let orders = |call: &str| call.split_once("orders").expect("a commit").1.to_owned();
    assert_eq!(orders(&again), orders(&call));
    assert_ne!(call_id(&again), call_id(&call));
    caller.send(&all_accepted(&again));
}

#[test]
fn a_call_response_during_a_snapshot_is_not_lost() {
    let (relay, controller, mut subscription, mut caller, call) = start_with_pending_call("crossing");
    // The new relay tells what stood before the call was carried out, and its answer comes in the midst of it.
    let next = Relay::open();
    reload_config(&controller, next.address, Discovery::idle());
    let mut later = next.subscriber();
    later.send(&(subscription_response() + &proxy_joined(1) + &slice_assigned(3)));
    subscription.wait_for_close();
    // All but the mark at its end is taken: the log tells when the steward knows.
    let count = call.matches("\"op\"").count() - 1;
    caller.send(&format!("{{\"id\":{},\"result\":{{\"taken\":{count}}}}}\n", call_id(&call)));
    eventually("the answer is known", || controller.log_contains("refused a command"));
    later.send(&(table_entry(3, "s-1", 1.0) + PING + &slice_assigned(5) + &table_entry(5, "s-1", 1.0)));
    let (_, said) = next.caller();
    assert!(said.contains("\"table\":5") && !said.contains("\"table\":3"), "{said}");
    drop((relay, subscription.stream.flush()));
}

#[test]
fn an_interrupted_snapshot_is_not_taken_as_complete() {
    let relay = Relay::open();
    let _controller = Controller::start("half", relay.address, Discovery::idle());
    let mut subscription = relay.subscriber();
    // Slice 3 is told, its line is not: taken for the whole, the table would be empty and get an owner.
    subscription.send(&(subscription_response() + &proxy_joined(1) + &slice_assigned(3)));
    subscription.stream.shutdown(std::net::Shutdown::Both).expect("open");
    let mut subscription = relay.subscriber();
    relay.assert_no_call_within(Duration::from_millis(700));
    subscription.send(
        &(subscription_response()
            + &proxy_joined(1)
            + &slice_assigned(3)
            + &table_entry(3, "s-2", 1.0)
            + PING),
    );
    let (_, call) = relay.caller();
    assert!(call.contains(r#""table":3,"server":"s-1","weight":0.0001"#), "the store's owner stays: {call}");
}

#[test]
fn a_late_old_relay_response_keeps_the_new_subscription() {
    let (old, new) = (Relay::open(), Relay::open());
    let controller = Controller::start("late-answer", old.address, Discovery::idle());
    // The first subscription is on its way when the file changes; the newer one stands before it is answered.
    let mut late = old.subscriber();
    reload_config(&controller, new.address, Discovery::idle());
    let mut subscription = new.subscriber();
    subscription.send(&initial_snapshot());
    let (mut caller, call) = new.caller();
    caller.send(&all_accepted(&call));
    late.send(&(subscription_response() + &proxy_joined(1) + PING));
    late.wait_for_close();
    // The newer line lives, and its word counts.
    subscription.send(&(slice_assigned(5) + &table_entry(5, "s-1", 1.0)));
    let said = caller.next_line("a call about slice 5");
    assert!(said.contains("\"table\":5") && !said.contains("\"table\":3"), "{said}");
    assert!(new.subscribers.try_recv().is_err() && old.subscribers.try_recv().is_err(), "nobody asked again");
}

#[test]
fn two_quick_reloads_leave_one_connection_to_the_last_relay() {
    let relays = [Relay::open(), Relay::open(), Relay::open()];
    let controller = Controller::start("two-files", relays[0].address, Discovery::idle());
    let mut held_back = vec![relays[0].subscriber()];
    // Each file comes before the subscription of the one before it was answered.
    for relay in &relays[1..] {
        reload_config(&controller, relay.address, Discovery::idle());
        held_back.push(relay.subscriber());
    }
    let mut last = held_back.pop().expect("three");
    last.send(&initial_snapshot());
    let (mut caller, call) = relays[2].caller();
    caller.send(&all_accepted(&call));
    for mut older in held_back {
        older.send(&initial_snapshot());
        older.wait_for_close();
    }
    last.send(&(slice_assigned(5) + &table_entry(5, "s-1", 1.0)));
    assert!(caller.next_line("a call about slice 5").contains("\"table\":5"));
}

#[test]
fn a_call_connection_closed_by_the_relay_is_not_reused() {
    let (relay, _controller, mut subscription, mut caller, call) = start_with_pending_call("closed");
    caller.send(&all_accepted(&call));
    caller.stream.shutdown(std::net::Shutdown::Both).expect("open");
    // Shut down before the next order can be decided, as it follows on this word alone.
    subscription.send(&(slice_assigned(5) + &table_entry(5, "s-1", 1.0)));
    let (mut caller, said) = relay.caller();
    assert!(said.contains("\"table\":5"), "{said}");
    caller.send(&all_accepted(&said));
    assert!(relay.subscribers.try_recv().is_err(), "no call was of unknown end");
}

#[test]
fn an_endless_relay_line_counts_as_silence() {
    let relay = Relay::open();
    let _controller = Controller::start("trickle", relay.address, Discovery::idle());
    let mut subscription = relay.subscriber();
    subscription.send(&initial_snapshot());
    // Without an answer it would ask anew for that.
    let (mut caller, call) = relay.caller();
    caller.send(&all_accepted(&call));
    let trickling = std::thread::spawn(move || {
        let began = Instant::now();
        while began.elapsed() < 2 * EVENT_TIMEOUT && subscription.stream.write_all(b" ").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    relay.subscriber();
    trickling.join().expect("it was cut off");
}

#[test]
fn an_endless_discovery_page_counts_as_silence() {
    let (relay, discovery) = (Relay::open(), Discovery::open());
    let _controller = Controller::start("trickling-page", relay.address, discovery.address);
    let (mut stream, _) = discovery.watch();
    let trickling = std::thread::spawn(move || {
        let began = Instant::now();
        while began.elapsed() < 2 * EVENT_TIMEOUT && stream.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    assert!(discovery.watch().1.contains("after=41 "));
    trickling.join().expect("it was cut off");
}

#[test]
fn a_restarted_discovery_is_asked_until_its_list_is_accepted() {
    let (relay, discovery) = (Relay::open(), Discovery::open());
    let controller = Controller::start("anew", relay.address, discovery.address);
    let page = |generation: u64, whole: bool| {
        let page = format!("{{\"generation\":{generation},\"reset\":{whole},\"instances\":[]}}\n");
        format!("{:x}\r\n{page}\r\n", page.len())
    };
    // Two tellings: the first word moves the list on, the second is older and too near to it to be believed.
    let (mut stream, ask) = discovery.watch();
    assert!(ask.contains("after=41 "), "{ask}");
    stream.write_all((page(60, false) + &page(3, true)).as_bytes()).expect("read");
    let began = Instant::now();
    let after = loop {
        let (mut stream, ask) = discovery.watch();
        if !ask.contains("after=60 ") {
            break ask;
        }
        assert!(began.elapsed() < EVENT_TIMEOUT, "{ask}");
        stream.write_all(page(3, true).as_bytes()).expect("read");
        // It hangs up to ask again, or keeps the line once the list counts; that one is ended here.
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.read(&mut [0; 64]);
    };
    assert!(after.contains("after=3 ") && began.elapsed() > Duration::from_secs(5), "{after}");
    assert!(controller.log_contains("discovery sent an older list than the known one"));
}

#[test]
fn calls_stay_within_the_size_limit_in_a_burst_of_joins() {
    let (relay, discovery) = (Relay::open(), Discovery::idle());
    let (proxies, slices) = (2400, 1300);
    let text = |listen| {
        let text = config_text(listen, relay.address, discovery);
        text.replace("\"key_ranges\": 40", "\"key_ranges\": 1300").replace("900.5", "1e9")
    };
    let controller = Controller::start_with_config("size", text);
    let mut subscription = relay.subscriber();
    let stands: String = (0..proxies).map(proxy_joined).collect();
    let tables: String =
        (0..slices).map(|slice| slice_assigned(slice) + &table_entry(slice, "s-1", 1.0)).collect();
    subscription.send(&(subscription_response() + &stands + &tables + PING));
    // All leave, come back and confirm while the first orders are under way.
    let changes = |n: u16| notification("left", &format!("{{\"proxy\":{n}}}")) + &proxy_joined(n);
    let confirms = |n: u16| notification("applied", &format!("{{\"proxy\":{n},\"mark\":1,\"took_ms\":9.5}}"));
    for _ in 0..3 {
        subscription.send(&(0..proxies).map(|n| changes(n) + &confirms(n)).collect::<String>());
    }
    let (mut caller, mut call) = relay.caller();
    let mut lines = 0;
    while lines < usize::from(slices) {
        assert!(call.len() < 60_000, "{} bytes", call.len());
        lines += call.matches("\"share\"").count();
        caller.send(&all_accepted(&call));
        if lines < usize::from(slices) {
            call = caller.next_line("the rest");
        }
    }
    assert_eq!(lines, usize::from(slices), "each standby once");
    assert!(controller.try_ping() && relay.subscribers.try_recv().is_err(), "nobody was cut off");
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", controller.child.id())).expect("a process");
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("told").trim();
    let megabytes = memory.split(' ').next().and_then(|kb| kb.parse::<u64>().ok()).expect("a number") >> 10;
    // Half of the file's limit, past which a long day is priced.
    assert!(megabytes <= 16, "{memory}");
}

#[test]
fn sigterm_exits_with_0_during_a_call_and_during_start() {
    let (_relay, mut controller, _subscription, _caller, _) = start_with_pending_call("term");
    controller.signal(libc::SIGTERM);
    let (code, within) = wait_for_exit(&mut controller);
    // SIGKILL follows no sooner than 0.7 s after.
    assert!(code == Some(0) && within < Duration::from_millis(700), "{code:?} after {within:?}");
    // A pipe in the file's place holds the start before the signals are watched.
    let pipe = std::env::temp_dir().join(format!("railhub-crossing-pipe-{}", std::process::id()));
    let name = std::ffi::CString::new(pipe.to_str().expect("text")).expect("no zero in it");
    // SAFETY: the name ends in a zero and is read alone.
    assert_eq!(unsafe { libc::mkfifo(name.as_ptr(), 0o600) }, 0);
    let listen = free_address();
    let mut starting = Controller::spawn(pipe.clone(), listen);
    // It comes to the pipe once it has taken its signals; the writer's end opens only then.
    let mut writer = None;
    eventually("a reader comes", || {
        writer = OpenOptions::new().write(true).custom_flags(libc::O_NONBLOCK).open(&pipe).ok();
        writer.is_some()
    });
    let mut writer = writer.expect("it came");
    starting.signal(libc::SIGTERM);
    let text = config_text(listen, Relay::open().address, Discovery::idle());
    writer.write_all(text.as_bytes()).expect("it reads");
    drop(writer);
    assert_eq!(wait_for_exit(&mut starting).0, Some(0));
}

#[test]
fn controller_starts_and_restarts_without_relay_and_discovery() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let away = free_address();
    let silent = silent.local_addr().map(|address| (address, silent)).expect("bound");
    for (n, (relay, discovery)) in
        [(away, away), (silent.0, silent.0), (away, silent.0), (silent.0, away)].into_iter().enumerate()
    {
        let mut controller = Controller::start(&format!("alone-{n}"), relay, discovery);
        let visitor = TcpStream::connect(controller.listen).expect("listens");
        controller.signal(libc::SIGKILL);
        wait_for_exit(&mut controller);
        // At once under the same address, while a connection of the killed one still stands here.
        let again = Controller::spawn(controller.config_file.clone(), controller.listen);
        eventually("it answers again", || again.try_ping());
        drop(visitor);
    }
}
