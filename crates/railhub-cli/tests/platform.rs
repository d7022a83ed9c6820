//! `railhub steward --platform` as a process, between a stand-in relay and a stand-in discovery on loopback.
mod common;

use common::{config_text, eventually, framed, ping, Controller, CONFIG_TEMPLATE, EVENT_TIMEOUT};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, PartialEq)]
enum RelayBehavior {
    AcceptsCalls,
    RejectsCalls,
    NeverResponds,
    SendsInvalidJson,
    ClosesConnection,
    /// The news stays open and says nothing more.
    SilentSubscription,
}

struct Relay {
    address: SocketAddr,
    behavior: Arc<Mutex<RelayBehavior>>,
    /// Calls as they came, and how many subscribed.
    calls: Arc<Mutex<Vec<String>>>,
    subscription_count: Arc<Mutex<usize>>,
}

impl Relay {
    fn start() -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let relay = Relay {
            address: listener.local_addr().expect("bound"),
            behavior: Arc::new(Mutex::new(RelayBehavior::AcceptsCalls)),
            calls: Arc::default(),
            subscription_count: Arc::default(),
        };
        let (behavior, calls, subscription_count) =
            (relay.behavior.clone(), relay.calls.clone(), relay.subscription_count.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (behavior, calls, subscription_count) =
                    (behavior.clone(), calls.clone(), subscription_count.clone());
                std::thread::spawn(move || serve_relay(stream, &behavior, &calls, &subscription_count));
            }
        });
        relay
    }

    fn set_behavior(&self, behavior: RelayBehavior) {
        *self.behavior.lock().expect("alive") = behavior;
    }

    fn calls(&self) -> Vec<String> {
        self.calls.lock().expect("alive").clone()
    }

    fn subscription_count(&self) -> usize {
        *self.subscription_count.lock().expect("alive")
    }
}

fn serve_relay(
    mut stream: TcpStream,
    behavior: &Mutex<RelayBehavior>,
    calls: &Mutex<Vec<String>>,
    subscription_count: &Mutex<usize>,
) {
    let reader = BufReader::new(stream.try_clone().expect("a descriptor"));
    for line in reader.lines().map_while(Result::ok) {
        let id =
            line.split("\"id\":").nth(1).and_then(|rest| rest.split(',').next()).expect("an id").to_owned();
        if line.contains("\"subscribe\"") {
            *subscription_count.lock().expect("alive") += 1;
            let news = [
                format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":true}}"),
                r#"{"jsonrpc":"2.0","method":"joined","params":{"proxy":1,"zone":"a","weight":2,"fresh":true}}"#.into(),
                r#"{"jsonrpc":"2.0","method":"given","params":{"slice":3,"on":true}}"#.into(),
                r#"{"jsonrpc":"2.0","method":"held","params":{"slice":3,"server":"s-1","weight":1.0}}"#.into(),
            ];
            // In pieces of a few bytes.
            for piece in format!("{}\n", news.join("\n")).as_bytes().chunks(37) {
                stream.write_all(piece).expect("read");
            }
            let ping = b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
            while *behavior.lock().expect("alive") == RelayBehavior::SilentSubscription
                || stream.write_all(ping).is_ok()
            {
                std::thread::sleep(Duration::from_millis(300));
            }
            return;
        }
        let count = line.matches("\"op\"").count();
        calls.lock().expect("alive").push(line);
        let answer = match *behavior.lock().expect("alive") {
            RelayBehavior::AcceptsCalls | RelayBehavior::SilentSubscription => {
                format!("{{\"id\":{id},\"result\":{{\"taken\":{count}}}}}\n")
            }
            RelayBehavior::RejectsCalls => format!("{{\"id\":{id},\"error\":{{\"message\":\"limit\"}}}}\n"),
            RelayBehavior::SendsInvalidJson => "{\"id\":\u{1}\n".to_owned(),
            RelayBehavior::NeverResponds => continue,
            RelayBehavior::ClosesConnection => return,
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

type WatchRequests = Arc<Mutex<Vec<String>>>;

/// Keeps each watch open and writes an empty line now and then; keeps what each asked for.
fn start_discovery() -> (SocketAddr, WatchRequests) {
    start_discovery_with(|mut stream, _| {
        while stream.write_all(b"1\r\n\n\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(300));
        }
    })
}

/// Answers each watch, by its place, with the head of a stream and then as told.
fn start_discovery_with(
    talks: impl Fn(TcpStream, usize) + Send + Sync + 'static,
) -> (SocketAddr, WatchRequests) {
    let talks = Arc::new(talks);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let watches = WatchRequests::default();
    let seen = watches.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (seen, talks) = (seen.clone(), talks.clone());
            std::thread::spawn(move || {
                let mut ask = String::new();
                let _ = BufReader::new(&stream).read_line(&mut ask);
                let place = seen.lock().map(|mut seen| (seen.push(ask), seen.len() - 1).1).expect("alive");
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
                talks(stream, place);
            });
        }
    });
    (address, watches)
}

fn connect_collector(controller: &Controller) -> TcpStream {
    let mut stream = TcpStream::connect(controller.listen).expect("listens");
    stream.write_all(&framed(r#"{"t":"collector","zone":"a"}"#)).expect("taken");
    stream
}

/// Whether the steward ends the connection, with a word or without, within a span.
fn is_closed_within(mut stream: TcpStream, within: Duration) -> bool {
    let began = Instant::now();
    stream.set_read_timeout(Some(within)).expect("a time");
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer);
    let timed_out = ended.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    !timed_out && began.elapsed() <= within
}

/// Whether a call has a barrier and nothing else.
fn has_only_a_barrier(call: &str) -> bool {
    call.matches("\"op\"").count() == 1 && call.contains(r#"{"op":"mark","ticket":"#)
}

#[test]
fn calls_are_repeated_until_their_outcome_is_known() {
    let (relay, (discovery, watches)) = (Relay::start(), start_discovery());
    relay.set_behavior(RelayBehavior::RejectsCalls);
    let _controller = Controller::start("calls", relay.address, discovery);
    // It answered a sign of life while the relay turns calls away.
    eventually("a call is turned away", || relay.calls().len() > 1);
    let wanted = |call: &String| call.split_once("orders").expect("a commit").1.to_owned();
    let first = wanted(&relay.calls()[0]);
    assert!(first.contains(r#"{"op":"share","table":3,"server":"s-2","weight":0.0001}"#), "{first}");
    let mut accepted = 0;
    for behavior in [
        RelayBehavior::NeverResponds,
        RelayBehavior::SendsInvalidJson,
        RelayBehavior::ClosesConnection,
        RelayBehavior::AcceptsCalls,
    ] {
        let before = relay.calls().len();
        accepted = before;
        relay.set_behavior(behavior);
        eventually("the call comes again", || {
            relay.calls().len() > before + usize::from(behavior != RelayBehavior::AcceptsCalls)
        });
        // Until it is taken nothing else is said; what follows then does not say it again.
        let calls = relay.calls();
        let until = if behavior == RelayBehavior::AcceptsCalls { before + 1 } else { calls.len() };
        for call in &calls[before..until] {
            assert_eq!(wanted(call), first, "in order, unchanged");
        }
        assert!(calls[until..].iter().all(|call| !call.contains("share")), "{calls:?}");
    }
    eventually("the watch", || {
        watches.lock().expect("alive")[0].contains("/discovery/hosts?watch=1&after=41 ")
    });
    std::thread::sleep(Duration::from_millis(1500));
    let after_accepted = &relay.calls()[accepted + 1..];
    // One barrier is due when the outcome of the repeated call is known, one when the last snapshot is complete.
    assert!(after_accepted.len() <= 2, "once taken it is not said again: {after_accepted:?}");
    assert!(after_accepted.iter().all(|call| has_only_a_barrier(call)), "{after_accepted:?}");
}

#[test]
fn a_valid_reload_moves_connections_and_an_invalid_one_does_not() {
    let (old, (discovery_a, watches_a)) = (Relay::start(), start_discovery());
    let mut controller = Controller::start("moves", old.address, discovery_a);
    eventually("subscribed and watching", || {
        old.subscription_count() == 1 && !watches_a.lock().expect("alive").is_empty()
    });
    std::fs::write(&controller.config_file, "{\"name\":").expect("writable");
    controller.signal(libc::SIGHUP);
    eventually("the bad file is told of", || {
        controller.log_contains("configuration reload failed, keeping the current one")
    });
    assert!(controller.try_ping() && controller.exit_status().is_none());
    let new: Vec<_> = (0..2).map(|_| (Relay::start(), start_discovery())).collect();
    for (relay, (discovery, watches)) in &new {
        let text = config_text(controller.listen, relay.address, *discovery);
        std::fs::write(&controller.config_file, text).expect("writable");
        controller.signal(libc::SIGHUP);
        eventually("moved", || relay.subscription_count() == 1 && watches.lock().expect("alive").len() == 1);
    }
    let mut reports = connect_collector(&controller);
    assert!(ping(&mut reports), "connections of others stay");
    assert_eq!(
        (old.subscription_count(), new[0].0.subscription_count(), new[1].0.subscription_count()),
        (1, 1, 1),
        "none doubled"
    );
    controller.signal(libc::SIGTERM);
    eventually("it ends", || controller.exit_status().is_some());
    assert_eq!(controller.exit_status().and_then(|status| status.code()), Some(0));
}

#[test]
fn resubscribes_when_the_subscription_goes_silent() {
    let (relay, (discovery, _)) = (Relay::start(), start_discovery());
    let controller = Controller::start("silent-news", relay.address, discovery);
    eventually("subscribed", || relay.subscription_count() == 1);
    relay.set_behavior(RelayBehavior::SilentSubscription);
    eventually("it dials again", || relay.subscription_count() == 2);
    assert!(controller.log_contains("relay silent for too long"));
}

#[test]
fn an_interrupted_or_silent_watch_resumes_after_the_last_page() {
    let page = r#"{"generation":50,"reset":false,"instances":[]}"#;
    let (discovery, watches) = start_discovery_with(move |mut stream, place| match place {
        0 => {
            let torn = format!("{:x}\r\n{page}\n\r\nff\r\n{{\"generation\":51", page.len() + 1);
            stream.write_all(torn.as_bytes()).expect("read");
        }
        // Open and silent for longer than anyone waits.
        _ => std::thread::sleep(2 * EVENT_TIMEOUT),
    });
    let controller = Controller::start("torn-watch", Relay::start().address, discovery);
    eventually("the third watch", || watches.lock().expect("alive").len() == 3);
    let asked = watches.lock().expect("alive").clone();
    assert!(
        asked[0].contains("after=41 ") && asked[1..].iter().all(|ask| ask.contains("after=50 ")),
        "{asked:?}"
    );
    assert!(
        controller.log_contains("endpoint list updated generation=50")
            && !controller.log_contains("generation=51")
    );
}

#[test]
fn unidentified_peers_are_closed_and_invalid_reports_skipped() {
    let (relay, (discovery, _)) = (Relay::start(), start_discovery());
    let controller = Controller::start("strangers", relay.address, discovery);
    let mut good = connect_collector(&controller);
    let stranger = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(controller.listen).expect("listens");
        stream.write_all(bytes).expect("taken");
        stream
    };
    let three = Duration::from_secs(3);
    let heard = r#"{"t":"heard","zone":"a","server":"s-1","tries":2,"failed":0,"mean_ms":4,"span_ms":1000}"#;
    let sent: Vec<TcpStream> = [
        b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
        vec![0xff; 4096],
        vec![0; 64],
        framed("{\"t\":"),
        framed(r#"{"t":"joined","proxy":3,"zone":"a"}"#),
        framed(r#"{"t":"collector","zone":"nowhere"}"#),
        framed(r#"{"op":"share","table":4,"server":"s-1","weight":1.5}"#),
        framed(heard),
        framed(r#"{"t":"ping"}"#),
        vec![0, 0],
        Vec::new(),
    ]
    .iter()
    .map(|bytes| stranger(bytes))
    .collect();
    for (place, stream) in sent.into_iter().enumerate() {
        assert!(is_closed_within(stream, three), "stranger {place}");
    }
    for spoilt in [heard.replace("\"tries\":2", "\"tries\":-2"), heard.replace("\"a\"", "9"), heard.into()] {
        good.write_all(&framed(&spoilt)).expect("taken");
    }
    assert!(ping(&mut good), "its connection stays");
    good.write_all(&framed("{{{{")).expect("taken");
    assert!(is_closed_within(good, three), "a stream that can't be read is of no further use");
    eventually("the log", || {
        controller.log_contains("cause=\"range\"") && controller.log_contains("cause=\"fields\"")
    });
}

#[test]
fn silent_connections_do_not_keep_collectors_out() {
    let (relay, (discovery, _)) = (Relay::start(), start_discovery());
    let controller = Controller::start("crowd", relay.address, discovery);
    let mut early = connect_collector(&controller);
    assert!(ping(&mut early));
    // The file allows 256 descriptors, of which some are kept for other ends.
    let crowd: Vec<TcpStream> =
        (0..400).filter_map(|_| TcpStream::connect_timeout(&controller.listen, EVENT_TIMEOUT).ok()).collect();
    let mut late = connect_collector(&controller);
    assert!(ping(&mut late) && ping(&mut early));
    assert!(crowd.into_iter().all(|stream| is_closed_within(stream, Duration::from_secs(3))));
    // A stream's end is seen here just before the steward lets its descriptor go.
    let open =
        || std::fs::read_dir(format!("/proc/{}/fd", controller.child.id())).expect("a process").count();
    eventually("descriptors are let go", || open() < 64);
    assert!(ping(&mut late) && ping(&mut early));
}

#[test]
fn an_invalid_file_at_start_gives_one_line_and_exit_code_2() {
    let run = |text: &str| {
        let file = std::env::temp_dir().join(format!("railhub-bad-{}.json", std::process::id()));
        std::fs::write(&file, text).expect("writable");
        let mut command = Command::new(env!("CARGO_BIN_EXE_railhub"));
        let output =
            command.args(["steward", "--platform"]).env("NODE_CONFIG", &file).output().expect("built");
        std::fs::remove_file(&file).expect("ours");
        (output.status.code(), String::from_utf8(output.stderr).expect("text"))
    };
    let (code, said) = run(&CONFIG_TEMPLATE.replace("\"worth\": 2.0", "\"worth\": -2.0"));
    assert_eq!(code, Some(2));
    assert!(
        said.trim_end().ends_with("settings.request_classes[1].worth: must be a number from 0 up"),
        "{said}"
    );
    assert_eq!(said.trim_end().lines().count(), 1, "{said}");
    assert_eq!(run("").0, Some(2));
}
