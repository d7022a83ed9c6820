//! Two events that cross at the steward of the platform, as a process on loopback. A scripted relay or discovery holds
//! its answer, cuts or speaks where the test says, so that each crossing comes about every time.
mod common;

use common::{eventually, file_text, free_port, Steward, PATIENCE};
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

    fn say(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the steward reads");
    }

    fn line(&self, what: &str) -> String {
        self.lines.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("not in time: {what}"))
    }

    /// Waits for the steward to end the connection, and hands back what it said before.
    fn ended(&self) -> Vec<String> {
        let mut said = Vec::new();
        loop {
            match self.lines.recv_timeout(PATIENCE) {
                Ok(line) => said.push(line),
                Err(RecvTimeoutError::Disconnected) => return said,
                Err(RecvTimeoutError::Timeout) => panic!("the connection is not ended"),
            }
        }
    }
}

fn id(line: &str) -> &str {
    line.split("\"id\":").nth(1).and_then(|rest| rest.split([',', '}']).next()).expect("an id")
}

fn joined(proxy: u16) -> String {
    note("joined", &format!(r#"{{"proxy":{proxy},"zone":"a","weight":2,"fresh":true}}"#))
}

fn given(slice: u16) -> String {
    note("given", &format!(r#"{{"slice":{slice},"on":true}}"#))
}

fn held(slice: u16, host: &str, weight: f64) -> String {
    note("held", &format!(r#"{{"slice":{slice},"server":"{host}","weight":{weight}}}"#))
}

fn note(method: &str, params: &str) -> String {
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
        self.subscribers.recv_timeout(PATIENCE).expect("a subscription in time")
    }

    /// The next connection for calls, with its first call.
    fn caller(&self) -> (Peer, String) {
        self.callers.recv_timeout(PATIENCE).expect("a call in time")
    }

    fn no_caller_within(&self, span: Duration) {
        assert!(self.callers.recv_timeout(span).is_err(), "nothing is to be ordered");
    }
}

fn subscribed() -> String {
    "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":true}\n".to_owned()
}

/// What stands at first: proxy 1, and slice 3 with the owner s-1.
fn first_standing() -> String {
    subscribed() + &joined(1) + &given(3) + &held(3, "s-1", 1.0) + PING
}

/// The same, once the relay has taken the standby that the steward orders.
fn standing_with_standby() -> String {
    subscribed() + &joined(1) + &given(3) + &held(3, "s-1", 1.0) + &held(3, "s-2", 0.0) + PING
}

fn taken(call: &str) -> String {
    format!("{{\"id\":{},\"result\":{{\"taken\":{}}}}}\n", id(call), call.matches("\"op\"").count())
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
        self.watches.recv_timeout(PATIENCE).expect("a watch in time")
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
fn move_to(steward: &Steward, relay: SocketAddr, discovery: SocketAddr) {
    std::fs::write(&steward.file, file_text(steward.listen, relay, discovery)).expect("writable");
    steward.signal(libc::SIGHUP);
}

/// How it ended, and within what.
fn ends(steward: &mut Steward) -> (Option<i32>, Duration) {
    let began = Instant::now();
    eventually("it ends", || steward.ended().is_some());
    (steward.ended().and_then(|status| status.code()), began.elapsed())
}

/// A steward whose first call, the standby of slice 3, is out.
fn with_a_call_out(name: &str) -> (Relay, Steward, Peer, Peer, String) {
    let relay = Relay::open();
    let steward = Steward::start(name, relay.address, Discovery::idle());
    let mut news = relay.subscriber();
    news.say(&first_standing());
    let (calls, call) = relay.caller();
    assert!(call.contains(r#"{"op":"share","table":3,"server":"s-2","weight":0.0001}"#), "{call}");
    (relay, steward, news, calls, call)
}

#[test]
fn a_call_that_was_carried_out_without_a_readable_answer_is_not_said_twice() {
    let ends: [fn(&mut Peer); 2] = [
        |calls| calls.say("{\"id\":\u{1}\n"),
        |calls| calls.stream.shutdown(std::net::Shutdown::Both).expect("open"),
    ];
    for (n, end) in ends.into_iter().enumerate() {
        let (relay, _steward, _news, mut calls, _) = with_a_call_out(&format!("carried-{n}"));
        end(&mut calls);
        // The relay has the line: whatever follows the new telling must not have it again.
        let mut news = relay.subscriber();
        news.say(&standing_with_standby());
        news.say(&(given(5) + &held(5, "s-1", 1.0)));
        let (_, next) = relay.caller();
        assert!(next.contains("\"table\":5") && !next.contains("\"table\":3"), "{next}");
    }
}

#[test]
fn a_call_that_was_not_carried_out_is_said_again_after_what_stands_was_told_and_not_before() {
    let (relay, _steward, _news, calls, call) = with_a_call_out("lost");
    drop(calls);
    let mut news = relay.subscriber();
    relay.no_caller_within(Duration::from_millis(700));
    news.say(&first_standing());
    let (mut calls, again) = relay.caller();
    let orders = |call: &str| call.split_once("orders").expect("a commit").1.to_owned();
    assert_eq!(orders(&again), orders(&call));
    assert_ne!(id(&again), id(&call));
    calls.say(&taken(&again));
}

#[test]
fn an_answer_that_crosses_what_stands_is_not_lost_to_it() {
    let (relay, steward, mut news, mut calls, call) = with_a_call_out("crossing");
    // The new relay tells what stood before the call was carried out, and its answer comes in the midst of it.
    let next = Relay::open();
    move_to(&steward, next.address, Discovery::idle());
    let mut later = next.subscriber();
    later.say(&(subscribed() + &joined(1) + &given(3)));
    news.ended();
    // All but the mark at its end is taken: the log tells when the steward knows.
    let count = call.matches("\"op\"").count() - 1;
    calls.say(&format!("{{\"id\":{},\"result\":{{\"taken\":{count}}}}}\n", id(&call)));
    eventually("the answer is known", || steward.says("refused a command"));
    later.say(&(held(3, "s-1", 1.0) + PING + &given(5) + &held(5, "s-1", 1.0)));
    let (_, said) = next.caller();
    assert!(said.contains("\"table\":5") && !said.contains("\"table\":3"), "{said}");
    drop((relay, news.stream.flush()));
}

#[test]
fn half_of_what_stands_is_not_taken_for_the_whole_when_the_line_breaks() {
    let relay = Relay::open();
    let _steward = Steward::start("half", relay.address, Discovery::idle());
    let mut news = relay.subscriber();
    // Slice 3 is told, its line is not: taken for the whole, the table would be empty and get an owner.
    news.say(&(subscribed() + &joined(1) + &given(3)));
    news.stream.shutdown(std::net::Shutdown::Both).expect("open");
    let mut news = relay.subscriber();
    relay.no_caller_within(Duration::from_millis(700));
    news.say(&(subscribed() + &joined(1) + &given(3) + &held(3, "s-2", 1.0) + PING));
    let (_, call) = relay.caller();
    assert!(call.contains(r#""table":3,"server":"s-1","weight":0.0001"#), "the store's owner stays: {call}");
}

#[test]
fn a_relay_of_an_older_file_that_answers_late_does_not_end_the_newer_line() {
    let (old, new) = (Relay::open(), Relay::open());
    let steward = Steward::start("late-answer", old.address, Discovery::idle());
    // The first subscription is on its way when the file changes; the newer one stands before it is answered.
    let mut late = old.subscriber();
    move_to(&steward, new.address, Discovery::idle());
    let mut news = new.subscriber();
    news.say(&first_standing());
    let (mut calls, call) = new.caller();
    calls.say(&taken(&call));
    late.say(&(subscribed() + &joined(1) + PING));
    late.ended();
    // The newer line lives, and its word counts.
    news.say(&(given(5) + &held(5, "s-1", 1.0)));
    let said = calls.line("a call about slice 5");
    assert!(said.contains("\"table\":5") && !said.contains("\"table\":3"), "{said}");
    assert!(new.subscribers.try_recv().is_err() && old.subscribers.try_recv().is_err(), "nobody asked again");
}

#[test]
fn two_new_files_at_once_leave_one_line_each_at_the_last() {
    let relays = [Relay::open(), Relay::open(), Relay::open()];
    let steward = Steward::start("two-files", relays[0].address, Discovery::idle());
    let mut held_back = vec![relays[0].subscriber()];
    // Each file comes before the subscription of the one before it was answered.
    for relay in &relays[1..] {
        move_to(&steward, relay.address, Discovery::idle());
        held_back.push(relay.subscriber());
    }
    let mut last = held_back.pop().expect("three");
    last.say(&first_standing());
    let (mut calls, call) = relays[2].caller();
    calls.say(&taken(&call));
    for mut older in held_back {
        older.say(&first_standing());
        older.ended();
    }
    last.say(&(given(5) + &held(5, "s-1", 1.0)));
    assert!(calls.line("a call about slice 5").contains("\"table\":5"));
}

#[test]
fn a_kept_connection_that_the_relay_closed_is_not_used_for_the_next_call() {
    let (relay, _steward, mut news, mut calls, call) = with_a_call_out("closed");
    calls.say(&taken(&call));
    calls.stream.shutdown(std::net::Shutdown::Both).expect("open");
    // Shut down before the next order can be decided, as it follows on this word alone.
    news.say(&(given(5) + &held(5, "s-1", 1.0)));
    let (mut calls, said) = relay.caller();
    assert!(said.contains("\"table\":5"), "{said}");
    calls.say(&taken(&said));
    assert!(relay.subscribers.try_recv().is_err(), "no call was of unknown end");
}

#[test]
fn a_line_of_news_that_never_ends_is_no_sign_of_life() {
    let relay = Relay::open();
    let _steward = Steward::start("trickle", relay.address, Discovery::idle());
    let mut news = relay.subscriber();
    news.say(&first_standing());
    // Without an answer it would ask anew for that.
    let (mut calls, call) = relay.caller();
    calls.say(&taken(&call));
    let trickling = std::thread::spawn(move || {
        let began = Instant::now();
        while began.elapsed() < 2 * PATIENCE && news.stream.write_all(b" ").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    relay.subscriber();
    trickling.join().expect("it was cut off");
}

#[test]
fn a_page_of_the_list_that_never_ends_is_no_sign_of_life() {
    let (relay, discovery) = (Relay::open(), Discovery::open());
    let _steward = Steward::start("trickling-page", relay.address, discovery.address);
    let (mut stream, _) = discovery.watch();
    let trickling = std::thread::spawn(move || {
        let began = Instant::now();
        while began.elapsed() < 2 * PATIENCE && stream.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    assert!(discovery.watch().1.contains("after=41 "));
    trickling.join().expect("it was cut off");
}

#[test]
fn a_discovery_that_began_anew_is_asked_until_its_list_counts() {
    let (relay, discovery) = (Relay::open(), Discovery::open());
    let steward = Steward::start("anew", relay.address, discovery.address);
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
        assert!(began.elapsed() < PATIENCE, "{ask}");
        stream.write_all(page(3, true).as_bytes()).expect("read");
        // It hangs up to ask again, or keeps the line once the list counts; that one is ended here.
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.read(&mut [0; 64]);
    };
    assert!(after.contains("after=3 ") && began.elapsed() > Duration::from_secs(5), "{after}");
    assert!(steward.says("discovery sent an older list than the known one"));
}

#[test]
fn a_fleet_that_comes_and_goes_within_a_second_is_taken_in_and_ordered_within_the_relays_limit() {
    let (relay, discovery) = (Relay::open(), Discovery::idle());
    let (proxies, slices) = (2400, 1300);
    let text = |listen| {
        let text = file_text(listen, relay.address, discovery);
        text.replace("\"key_ranges\": 40", "\"key_ranges\": 1300").replace("900.5", "1e9")
    };
    let steward = Steward::start_by("size", text);
    let mut news = relay.subscriber();
    let stands: String = (0..proxies).map(joined).collect();
    let tables: String = (0..slices).map(|slice| given(slice) + &held(slice, "s-1", 1.0)).collect();
    news.say(&(subscribed() + &stands + &tables + PING));
    // All leave, come back and confirm while the first orders are under way.
    let changes = |n: u16| note("left", &format!("{{\"proxy\":{n}}}")) + &joined(n);
    let confirms = |n: u16| note("applied", &format!("{{\"proxy\":{n},\"mark\":1,\"took_ms\":9.5}}"));
    for _ in 0..3 {
        news.say(&(0..proxies).map(|n| changes(n) + &confirms(n)).collect::<String>());
    }
    let (mut calls, mut call) = relay.caller();
    let mut lines = 0;
    while lines < usize::from(slices) {
        assert!(call.len() < 60_000, "{} bytes", call.len());
        lines += call.matches("\"share\"").count();
        calls.say(&taken(&call));
        if lines < usize::from(slices) {
            call = calls.line("the rest");
        }
    }
    assert_eq!(lines, usize::from(slices), "each standby once");
    assert!(steward.try_ping() && relay.subscribers.try_recv().is_err(), "nobody was cut off");
    let status = std::fs::read_to_string(format!("/proc/{}/status", steward.child.id())).expect("a process");
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("told").trim();
    let megabytes = memory.split(' ').next().and_then(|kb| kb.parse::<u64>().ok()).expect("a number") >> 10;
    // Half of the file's limit, past which a long day is priced.
    assert!(megabytes <= 16, "{memory}");
}

#[test]
fn sigterm_ends_it_well_at_once_with_a_call_out_and_while_it_starts() {
    let (_relay, mut steward, _news, _calls, _) = with_a_call_out("term");
    steward.signal(libc::SIGTERM);
    let (code, within) = ends(&mut steward);
    // SIGKILL follows no sooner than 0.7 s after.
    assert!(code == Some(0) && within < Duration::from_millis(700), "{code:?} after {within:?}");
    // A pipe in the file's place holds the start before the signals are watched.
    let pipe = std::env::temp_dir().join(format!("railhub-crossing-pipe-{}", std::process::id()));
    let name = std::ffi::CString::new(pipe.to_str().expect("text")).expect("no zero in it");
    // SAFETY: the name ends in a zero and is read alone.
    assert_eq!(unsafe { libc::mkfifo(name.as_ptr(), 0o600) }, 0);
    let listen = free_port();
    let mut starting = Steward::of_file(pipe.clone(), listen);
    // It comes to the pipe once it has taken its signals; the writer's end opens only then.
    let mut writer = None;
    eventually("a reader comes", || {
        writer = OpenOptions::new().write(true).custom_flags(libc::O_NONBLOCK).open(&pipe).ok();
        writer.is_some()
    });
    let mut writer = writer.expect("it came");
    starting.signal(libc::SIGTERM);
    let text = file_text(listen, Relay::open().address, Discovery::idle());
    writer.write_all(text.as_bytes()).expect("it reads");
    drop(writer);
    assert_eq!(ends(&mut starting).0, Some(0));
}

#[test]
fn it_starts_and_answers_whatever_discovery_and_relay_do_and_anew_where_it_was_killed() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let away = free_port();
    let silent = silent.local_addr().map(|address| (address, silent)).expect("bound");
    for (n, (relay, discovery)) in
        [(away, away), (silent.0, silent.0), (away, silent.0), (silent.0, away)].into_iter().enumerate()
    {
        let mut steward = Steward::start(&format!("alone-{n}"), relay, discovery);
        let visitor = TcpStream::connect(steward.listen).expect("listens");
        steward.signal(libc::SIGKILL);
        ends(&mut steward);
        // At once under the same address, while a connection of the killed one still stands here.
        let again = Steward::of_file(steward.file.clone(), steward.listen);
        eventually("it answers again", || again.try_ping());
        drop(visitor);
    }
}
