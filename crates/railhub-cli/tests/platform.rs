//! `railhub controller --platform` as a process, connected to an emulated relay and an emulated discovery on loopback.
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
    /// The subscription stays open without further messages; calls are accepted.
    SilentSubscription,
}

struct Relay {
    address: SocketAddr,
    behavior: Arc<Mutex<RelayBehavior>>,
    /// Calls in order of arrival.
    calls: Arc<Mutex<Vec<String>>>,
    subscription_count: Arc<Mutex<usize>>,
}

impl Relay {
    fn start() -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let relay = Relay {
            address: listener.local_addr().expect("the listener is bound"),
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
        *self.behavior.lock().expect("the mutex is not poisoned") = behavior;
    }

    fn calls(&self) -> Vec<String> {
        self.calls.lock().expect("the mutex is not poisoned").clone()
    }

    fn subscription_count(&self) -> usize {
        *self.subscription_count.lock().expect("the mutex is not poisoned")
    }
}

fn serve_relay(
    mut stream: TcpStream,
    behavior: &Mutex<RelayBehavior>,
    calls: &Mutex<Vec<String>>,
    subscription_count: &Mutex<usize>,
) {
    let reader = BufReader::new(stream.try_clone().expect("the stream can be cloned"));
    for line in reader.lines().map_while(Result::ok) {
        let id = line
            .split("\"id\":")
            .nth(1)
            .and_then(|rest| rest.split(',').next())
            .expect("the line has an id")
            .to_owned();
        if line.contains("\"subscribe\"") {
            *subscription_count.lock().expect("the mutex is not poisoned") += 1;
            let snapshot = [
                format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":true}}"),
                r#"{"jsonrpc":"2.0","method":"joined","params":{"proxy":1,"zone":"a","weight":2,"fresh":true}}"#.into(),
                r#"{"jsonrpc":"2.0","method":"given","params":{"slice":3,"on":true}}"#.into(),
                r#"{"jsonrpc":"2.0","method":"held","params":{"slice":3,"server":"s-1","weight":1.0}}"#.into(),
            ];
            // Messages are split across writes of 37 bytes.
            for part in format!("{}\n", snapshot.join("\n")).as_bytes().chunks(37) {
                stream.write_all(part).expect("the controller keeps the connection open");
            }
            let ping = b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
            while *behavior.lock().expect("the mutex is not poisoned") == RelayBehavior::SilentSubscription
                || stream.write_all(ping).is_ok()
            {
                std::thread::sleep(Duration::from_millis(300));
            }
            return;
        }
        let count = line.matches("\"op\"").count();
        calls.lock().expect("the mutex is not poisoned").push(line);
        let response = match *behavior.lock().expect("the mutex is not poisoned") {
            RelayBehavior::AcceptsCalls | RelayBehavior::SilentSubscription => {
                format!("{{\"id\":{id},\"result\":{{\"taken\":{count}}}}}\n")
            }
            RelayBehavior::RejectsCalls => format!("{{\"id\":{id},\"error\":{{\"message\":\"limit\"}}}}\n"),
            RelayBehavior::SendsInvalidJson => "{\"id\":\u{1}\n".to_owned(),
            RelayBehavior::NeverResponds => continue,
            RelayBehavior::ClosesConnection => return,
        };
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// The request lines of the watches that a discovery received.
type WatchRequests = Arc<Mutex<Vec<String>>>;

/// Starts a discovery that keeps each watch open by empty lines, and records the request lines.
fn start_discovery() -> (SocketAddr, WatchRequests) {
    start_discovery_with(|mut stream, _| {
        while stream.write_all(b"1\r\n\n\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(300));
        }
    })
}

/// Starts a discovery that sends the head of a response on each watch, then calls `respond` with the stream and the
/// number of the watch, from 0 up.
fn start_discovery_with(
    respond: impl Fn(TcpStream, usize) + Send + Sync + 'static,
) -> (SocketAddr, WatchRequests) {
    let respond = Arc::new(respond);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let requests = WatchRequests::default();
    let log = requests.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (log, respond) = (log.clone(), respond.clone());
            std::thread::spawn(move || {
                let mut request = String::new();
                let _ = BufReader::new(&stream).read_line(&mut request);
                let number = log
                    .lock()
                    .map(|mut log| (log.push(request), log.len() - 1).1)
                    .expect("the mutex is not poisoned");
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
                respond(stream, number);
            });
        }
    });
    (address, requests)
}

fn connect_collector(controller: &Controller) -> TcpStream {
    let mut stream = TcpStream::connect(controller.listen).expect("the controller listens");
    stream.write_all(&framed(r#"{"t":"collector","zone":"a"}"#)).expect("the connection is open");
    stream
}

/// Whether the controller closes the connection in time, with or without a message.
fn is_closed_within(mut stream: TcpStream, timeout: Duration) -> bool {
    let started_at = Instant::now();
    stream.set_read_timeout(Some(timeout)).expect("timeout is set");
    let mut received = Vec::new();
    let result = stream.read_to_end(&mut received);
    let timed_out = result.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    !timed_out && started_at.elapsed() <= timeout
}

/// Whether a barrier is the only command of a call.
fn has_only_a_barrier(call: &str) -> bool {
    call.matches("\"op\"").count() == 1 && call.contains(r#"{"op":"mark","ticket":"#)
}

#[test]
fn calls_are_repeated_until_their_outcome_is_known() {
    let (relay, (discovery, watches)) = (Relay::start(), start_discovery());
    relay.set_behavior(RelayBehavior::RejectsCalls);
    let _controller = Controller::start("calls", relay.address, discovery);
    // The controller is up: it answered a ping although the relay rejects its calls.
    eventually("a rejected call is repeated", || relay.calls().len() > 1);
    let commands = |call: &String| call.split_once("orders").expect("the call has commands").1.to_owned();
    let first = commands(&relay.calls()[0]);
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
        eventually("the call is repeated", || {
            relay.calls().len() > before + usize::from(behavior != RelayBehavior::AcceptsCalls)
        });
        // Until the call is accepted no other call is made; later calls do not repeat its commands.
        let calls = relay.calls();
        let until = if behavior == RelayBehavior::AcceptsCalls { before + 1 } else { calls.len() };
        for call in &calls[before..until] {
            assert_eq!(commands(call), first, "a repeated call differs from the first one");
        }
        assert!(calls[until..].iter().all(|call| !call.contains("share")), "{calls:?}");
    }
    eventually("discovery gets a watch request", || {
        watches.lock().expect("the mutex is not poisoned")[0].contains("/discovery/hosts?watch=1&after=41 ")
    });
    std::thread::sleep(Duration::from_millis(1500));
    let after_accepted = &relay.calls()[accepted + 1..];
    // One barrier is due when the outcome of the repeated call is known, one when the last snapshot is complete.
    assert!(after_accepted.len() <= 2, "an accepted call was repeated: {after_accepted:?}");
    assert!(after_accepted.iter().all(|call| has_only_a_barrier(call)), "{after_accepted:?}");
}

#[test]
fn a_valid_reload_moves_connections_and_an_invalid_one_does_not() {
    let (old, (old_discovery, old_watches)) = (Relay::start(), start_discovery());
    let mut controller = Controller::start("reload", old.address, old_discovery);
    eventually("the controller subscribes and watches", || {
        old.subscription_count() == 1 && !old_watches.lock().expect("the mutex is not poisoned").is_empty()
    });
    std::fs::write(&controller.config_file, "{\"name\":").expect("the temporary folder is writable");
    controller.signal(libc::SIGHUP);
    eventually("the failed reload is logged", || {
        controller.log_contains("configuration reload failed, keeping the current one")
    });
    assert!(controller.try_ping() && controller.exit_status().is_none());
    let new: Vec<_> = (0..2).map(|_| (Relay::start(), start_discovery())).collect();
    for (relay, (discovery, watches)) in &new {
        let text = config_text(controller.listen, relay.address, *discovery);
        std::fs::write(&controller.config_file, text).expect("the temporary folder is writable");
        controller.signal(libc::SIGHUP);
        eventually("the controller moves to the new relay and discovery", || {
            relay.subscription_count() == 1 && watches.lock().expect("the mutex is not poisoned").len() == 1
        });
    }
    let mut collector = connect_collector(&controller);
    assert!(ping(&mut collector), "a collector got no response after the reloads");
    assert_eq!(
        (old.subscription_count(), new[0].0.subscription_count(), new[1].0.subscription_count()),
        (1, 1, 1),
        "expected one subscription at each relay"
    );
    controller.signal(libc::SIGTERM);
    eventually("the controller exits", || controller.exit_status().is_some());
    assert_eq!(controller.exit_status().and_then(|status| status.code()), Some(0));
}

#[test]
fn resubscribes_when_the_subscription_goes_silent() {
    let (relay, (discovery, _)) = (Relay::start(), start_discovery());
    let controller = Controller::start("silent-subscription", relay.address, discovery);
    eventually("the controller subscribes", || relay.subscription_count() == 1);
    relay.set_behavior(RelayBehavior::SilentSubscription);
    eventually("the controller subscribes again", || relay.subscription_count() == 2);
    assert!(controller.log_contains("relay silent for too long"));
}

#[test]
fn an_interrupted_or_silent_watch_resumes_after_the_last_page() {
    let page = r#"{"generation":50,"reset":false,"instances":[]}"#;
    let (discovery, watches) = start_discovery_with(move |mut stream, number| match number {
        0 => {
            let truncated = format!("{:x}\r\n{page}\n\r\nff\r\n{{\"generation\":51", page.len() + 1);
            stream.write_all(truncated.as_bytes()).expect("the controller keeps the connection open");
        }
        // Open and silent for longer than the controller waits.
        _ => std::thread::sleep(2 * EVENT_TIMEOUT),
    });
    let controller = Controller::start("interrupted-watch", Relay::start().address, discovery);
    eventually("discovery gets the third watch request", || {
        watches.lock().expect("the mutex is not poisoned").len() == 3
    });
    let requests = watches.lock().expect("the mutex is not poisoned").clone();
    assert!(
        requests[0].contains("after=41 ")
            && requests[1..].iter().all(|request| request.contains("after=50 ")),
        "{requests:?}"
    );
    assert!(
        controller.log_contains("endpoint list updated generation=50")
            && !controller.log_contains("generation=51")
    );
}

#[test]
fn unidentified_peers_are_closed_and_invalid_reports_skipped() {
    const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
    let (relay, (discovery, _)) = (Relay::start(), start_discovery());
    let controller = Controller::start("unidentified", relay.address, discovery);
    let mut collector = connect_collector(&controller);
    let send_unidentified = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(controller.listen).expect("the controller listens");
        stream.write_all(bytes).expect("the connection is open");
        stream
    };
    let report = r#"{"t":"heard","zone":"a","server":"s-1","tries":2,"failed":0,"mean_ms":4,"span_ms":1000}"#;
    let unidentified: Vec<TcpStream> = [
        b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
        vec![0xff; 4096],
        vec![0; 64],
        framed("{\"t\":"),
        framed(r#"{"t":"joined","proxy":3,"zone":"a"}"#),
        framed(r#"{"t":"collector","zone":"nowhere"}"#),
        framed(r#"{"op":"share","table":4,"server":"s-1","weight":1.5}"#),
        framed(report),
        framed(r#"{"t":"ping"}"#),
        vec![0, 0],
        Vec::new(),
    ]
    .iter()
    .map(|bytes| send_unidentified(bytes))
    .collect();
    for (number, stream) in unidentified.into_iter().enumerate() {
        assert!(is_closed_within(stream, CLOSE_TIMEOUT), "the connection of message {number} stays open");
    }
    for report in [report.replace("\"tries\":2", "\"tries\":-2"), report.replace("\"a\"", "9"), report.into()]
    {
        collector.write_all(&framed(&report)).expect("the connection is open");
    }
    assert!(ping(&mut collector), "an invalid report closed the collector's connection");
    collector.write_all(&framed("{{{{")).expect("the connection is open");
    assert!(is_closed_within(collector, CLOSE_TIMEOUT), "the connection stays open after invalid JSON");
    eventually("the rejected reports are logged with their causes", || {
        controller.log_contains("cause=\"range\"") && controller.log_contains("cause=\"fields\"")
    });
}

#[test]
fn silent_connections_do_not_keep_collectors_out() {
    let (relay, (discovery, _)) = (Relay::start(), start_discovery());
    let controller = Controller::start("crowd", relay.address, discovery);
    let mut early = connect_collector(&controller);
    assert!(ping(&mut early));
    // The configuration allows 256 descriptors, of which the controller reserves some for other uses.
    let crowd: Vec<TcpStream> =
        (0..400).filter_map(|_| TcpStream::connect_timeout(&controller.listen, EVENT_TIMEOUT).ok()).collect();
    let mut late = connect_collector(&controller);
    assert!(ping(&mut late) && ping(&mut early));
    assert!(crowd.into_iter().all(|stream| is_closed_within(stream, Duration::from_secs(3))));
    // The client sees the close slightly before the controller releases the descriptor.
    let open_descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", controller.child.id())).expect("the process runs").count()
    };
    eventually("the descriptors are released", || open_descriptors() < 64);
    assert!(ping(&mut late) && ping(&mut early));
}

#[test]
fn an_invalid_file_at_start_gives_one_line_and_exit_code_2() {
    let run = |text: &str| {
        let file = std::env::temp_dir().join(format!("railhub-bad-{}.json", std::process::id()));
        std::fs::write(&file, text).expect("the temporary folder is writable");
        let mut command = Command::new(env!("CARGO_BIN_EXE_railhub"));
        let output = command
            .args(["steward", "--platform"])
            .env("NODE_CONFIG", &file)
            .output()
            .expect("the railhub binary starts");
        std::fs::remove_file(&file).expect("the file can be removed");
        (output.status.code(), String::from_utf8(output.stderr).expect("the error is UTF-8"))
    };
    let (code, stderr) = run(&CONFIG_TEMPLATE.replace("\"worth\": 2.0", "\"worth\": -2.0"));
    assert_eq!(code, Some(2));
    assert!(
        stderr.trim_end().ends_with("settings.request_classes[1].worth: must be a number from 0 up"),
        "{stderr}"
    );
    assert_eq!(stderr.trim_end().lines().count(), 1, "{stderr}");
    assert_eq!(run("").0, Some(2));
}
