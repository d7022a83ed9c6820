//! Races between two events at a controller process in platform mode, on loopback. A scripted relay or discovery delays
//! its response, disconnects or sends at the point that the test chooses, so that each race occurs in every run.
mod common;
#[path = "common/scripted.rs"]
mod scripted;

use common::{config_text, eventually, free_address, Controller, EVENT_TIMEOUT};
use scripted::{
    all_accepted, call_id, chunk, notification, page, proxy_joined, slice_assigned, snapshot, table_entry,
    Connection, ScriptedDiscovery, Watch, PING, SUBSCRIBED, WATCH_HEAD,
};
use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::OpenOptionsExt;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

/// A relay that hands its connections to the test: those that subscribe apart from those that make calls.
struct Relay {
    address: SocketAddr,
    subscribers: Receiver<Connection>,
    callers: Receiver<(Connection, String)>,
}

impl Relay {
    fn open() -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let ((subscriber, subscribers), (caller, callers)) = (channel(), channel());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (subscriber, caller): (Sender<Connection>, Sender<(Connection, String)>) =
                    (subscriber.clone(), caller.clone());
                std::thread::spawn(move || {
                    let connection = Connection::new(stream);
                    let Some(first) = connection.first_line() else { return };
                    let _ = if first.contains("\"subscribe\"") {
                        subscriber.send(connection).is_ok()
                    } else {
                        caller.send((connection, first)).is_ok()
                    };
                });
            }
        });
        Relay { address, subscribers, callers }
    }

    /// The next connection that subscribes; no response was sent on it.
    fn subscriber(&self) -> Connection {
        self.subscribers.recv_timeout(EVENT_TIMEOUT).expect("a subscription arrives before the timeout")
    }

    /// The next connection that makes calls, with its first call.
    fn caller(&self) -> (Connection, String) {
        self.callers.recv_timeout(EVENT_TIMEOUT).expect("a call arrives before the timeout")
    }

    fn assert_no_call_within(&self, duration: Duration) {
        assert!(self.callers.recv_timeout(duration).is_err(), "a call arrived within {duration:?}");
    }
}

/// The state of [`snapshot`] after the relay has accepted the controller's command for a standby.
fn snapshot_with_standby() -> String {
    SUBSCRIBED.to_owned()
        + &proxy_joined(1)
        + &slice_assigned(3)
        + &table_entry(3, "s-1", 1.0)
        + &table_entry(3, "s-2", 0.0)
        + PING
}

/// Writes a configuration with these addresses and signals the controller to reload it.
fn reload_config(controller: &Controller, relay: SocketAddr, discovery: SocketAddr) {
    std::fs::write(&controller.config_file, config_text(controller.listen, relay, discovery))
        .expect("the temporary folder is writable");
    controller.signal(libc::SIGHUP);
}

/// Waits for the process to exit; returns its exit code and the time it took.
fn wait_for_exit(controller: &mut Controller) -> (Option<i32>, Duration) {
    let started_at = Instant::now();
    eventually("the controller exits", || controller.exit_status().is_some());
    (controller.exit_status().and_then(|status| status.code()), started_at.elapsed())
}

/// A controller whose first call, for the standby of slice 3, got no response yet. Returns the relay, the controller,
/// its subscription, and the connection and text of the call.
fn start_with_pending_call(name: &str) -> (Relay, Controller, Connection, Connection, String) {
    let relay = Relay::open();
    let controller = Controller::start(name, relay.address, ScriptedDiscovery::idle());
    let mut subscription = relay.subscriber();
    subscription.send(&snapshot());
    let (caller, call) = relay.caller();
    assert!(call.contains(r#"{"op":"share","table":3,"server":"s-2","weight":0.0001}"#), "{call}");
    (relay, controller, subscription, caller, call)
}

#[test]
fn an_executed_call_without_a_valid_response_is_not_repeated() {
    let outcomes: [fn(&mut Connection); 2] = [
        |caller| caller.send("{\"id\":\u{1}\n"),
        |caller| caller.stream.shutdown(std::net::Shutdown::Both).expect("the connection is open"),
    ];
    for (n, apply_outcome) in outcomes.into_iter().enumerate() {
        let (relay, _controller, _subscription, mut caller, _) =
            start_with_pending_call(&format!("executed-{n}"));
        apply_outcome(&mut caller);
        // The new snapshot has the entry of the standby, so later calls must not request it again.
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
    subscription.send(&snapshot());
    let (mut caller, repeated) = relay.caller();
    let commands = |call: &str| call.split_once("orders").expect("the call has commands").1.to_owned();
    assert_eq!(commands(&repeated), commands(&call));
    assert_ne!(call_id(&repeated), call_id(&call));
    caller.send(&all_accepted(&repeated));
}

#[test]
fn a_call_response_during_a_snapshot_is_not_lost() {
    let (relay, controller, mut subscription, mut caller, call) = start_with_pending_call("call-response");
    // The new relay sends a snapshot from before the call was executed; the response to the call arrives in between.
    let next = Relay::open();
    reload_config(&controller, next.address, ScriptedDiscovery::idle());
    let mut next_subscription = next.subscriber();
    next_subscription.send(&(SUBSCRIBED.to_owned() + &proxy_joined(1) + &slice_assigned(3)));
    subscription.wait_for_close();
    // All commands are accepted but the barrier at the end, so the log shows when the controller has read the response.
    let count = call.matches("\"op\"").count() - 1;
    caller.send(&format!("{{\"id\":{},\"result\":{{\"taken\":{count}}}}}\n", call_id(&call)));
    eventually("the refused command is logged", || controller.log_contains("refused a command"));
    next_subscription
        .send(&(table_entry(3, "s-1", 1.0) + PING + &slice_assigned(5) + &table_entry(5, "s-1", 1.0)));
    let (_, next_call) = next.caller();
    assert!(next_call.contains("\"table\":5") && !next_call.contains("\"table\":3"), "{next_call}");
    drop((relay, subscription.stream.flush()));
}

#[test]
fn an_interrupted_snapshot_is_not_taken_as_complete() {
    let relay = Relay::open();
    let _controller = Controller::start("interrupted-snapshot", relay.address, ScriptedDiscovery::idle());
    let mut subscription = relay.subscriber();
    // The snapshot is cut after slice 3, before its table entry. If it were taken as complete, the table would seem
    // empty and get a new owner.
    subscription.send(&(SUBSCRIBED.to_owned() + &proxy_joined(1) + &slice_assigned(3)));
    subscription.stream.shutdown(std::net::Shutdown::Both).expect("the connection is open");
    let mut subscription = relay.subscriber();
    relay.assert_no_call_within(Duration::from_millis(700));
    subscription.send(
        &(SUBSCRIBED.to_owned() + &proxy_joined(1) + &slice_assigned(3) + &table_entry(3, "s-2", 1.0) + PING),
    );
    let (_, call) = relay.caller();
    assert!(
        call.contains(r#""table":3,"server":"s-1","weight":0.0001"#),
        "expected s-1 as the standby of s-2, which stays the owner: {call}"
    );
}

#[test]
fn a_late_old_relay_response_keeps_the_new_subscription() {
    let (old, new) = (Relay::open(), Relay::open());
    let controller = Controller::start("late-response", old.address, ScriptedDiscovery::idle());
    // The first subscription is pending when the configuration changes; the second one is active before the first one
    // gets its response.
    let mut late = old.subscriber();
    reload_config(&controller, new.address, ScriptedDiscovery::idle());
    let mut subscription = new.subscriber();
    subscription.send(&snapshot());
    let (mut caller, call) = new.caller();
    caller.send(&all_accepted(&call));
    late.send(&(SUBSCRIBED.to_owned() + &proxy_joined(1) + PING));
    late.wait_for_close();
    // The new subscription stays open, and its messages take effect.
    subscription.send(&(slice_assigned(5) + &table_entry(5, "s-1", 1.0)));
    let next_call = caller.next_line("a call about slice 5");
    assert!(next_call.contains("\"table\":5") && !next_call.contains("\"table\":3"), "{next_call}");
    assert!(
        new.subscribers.try_recv().is_err() && old.subscribers.try_recv().is_err(),
        "the controller subscribed again"
    );
}

#[test]
fn two_quick_reloads_leave_one_connection_to_the_last_relay() {
    let relays = [Relay::open(), Relay::open(), Relay::open()];
    let controller = Controller::start("two-reloads", relays[0].address, ScriptedDiscovery::idle());
    let mut pending = vec![relays[0].subscriber()];
    // Each reload occurs before the previous subscription got its response.
    for relay in &relays[1..] {
        reload_config(&controller, relay.address, ScriptedDiscovery::idle());
        pending.push(relay.subscriber());
    }
    let mut last = pending.pop().expect("there are three subscriptions");
    last.send(&snapshot());
    let (mut caller, call) = relays[2].caller();
    caller.send(&all_accepted(&call));
    for mut older in pending {
        older.send(&snapshot());
        older.wait_for_close();
    }
    last.send(&(slice_assigned(5) + &table_entry(5, "s-1", 1.0)));
    assert!(caller.next_line("a call about slice 5").contains("\"table\":5"));
}

#[test]
fn a_call_connection_closed_by_the_relay_is_not_reused() {
    let (relay, _controller, mut subscription, mut caller, call) = start_with_pending_call("closed");
    caller.send(&all_accepted(&call));
    caller.stream.shutdown(std::net::Shutdown::Both).expect("the connection is open");
    // The next call results from this message only, so the connection is closed before the controller can make the
    // call.
    subscription.send(&(slice_assigned(5) + &table_entry(5, "s-1", 1.0)));
    let (mut caller, next_call) = relay.caller();
    assert!(next_call.contains("\"table\":5"), "{next_call}");
    caller.send(&all_accepted(&next_call));
    assert!(
        relay.subscribers.try_recv().is_err(),
        "the controller subscribed again, as after a call with an unknown outcome"
    );
}

#[test]
fn an_endless_relay_line_counts_as_silence() {
    let relay = Relay::open();
    let _controller = Controller::start("endless-line", relay.address, ScriptedDiscovery::idle());
    let mut subscription = relay.subscriber();
    subscription.send(&snapshot());
    // The call gets its response, as the controller would also subscribe again without one.
    let (mut caller, call) = relay.caller();
    caller.send(&all_accepted(&call));
    let writer = std::thread::spawn(move || {
        let started_at = Instant::now();
        while started_at.elapsed() < 2 * EVENT_TIMEOUT && subscription.stream.write_all(b" ").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    relay.subscriber();
    writer.join().expect("the writing thread ends");
}

#[test]
fn an_endless_discovery_page_counts_as_silence() {
    let (relay, discovery) = (Relay::open(), ScriptedDiscovery::open());
    let _controller = Controller::start("endless-page", relay.address, discovery.address);
    let mut watch = discovery.watch();
    watch.send(WATCH_HEAD);
    let writer = std::thread::spawn(move || {
        let started_at = Instant::now();
        while started_at.elapsed() < 2 * EVENT_TIMEOUT && watch.stream.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    assert!(discovery.watch().request.contains("after=41 "));
    writer.join().expect("the writing thread ends");
}

#[test]
fn a_restarted_discovery_is_asked_until_its_list_is_accepted() {
    let (relay, discovery) = (Relay::open(), ScriptedDiscovery::open());
    let controller = Controller::start("restarted-discovery", relay.address, discovery.address);
    let answer = |watch: &mut Watch, pages: &[(u64, bool)]| {
        let chunks =
            pages.iter().map(|(generation, is_complete)| chunk(&page(*generation, *is_complete, &[])));
        watch.send(&(WATCH_HEAD.to_owned() + &chunks.collect::<String>()));
    };
    // Two pages: the first advances the list; the second is older and follows too soon to be accepted.
    let mut watch = discovery.watch();
    assert!(watch.request.contains("after=41 "), "{}", watch.request);
    answer(&mut watch, &[(60, false), (3, true)]);
    let sent_at = Instant::now();
    let after = loop {
        let mut watch = discovery.watch();
        if !watch.request.contains("after=60 ") {
            break watch.request;
        }
        assert!(sent_at.elapsed() < EVENT_TIMEOUT, "{}", watch.request);
        answer(&mut watch, &[(3, true)]);
        // The controller closes the watch to request the list again, or keeps it open once the list is accepted. In
        // that case the test closes it after 1 s.
        let _ = watch.stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = watch.stream.read(&mut [0; 64]);
    };
    assert!(after.contains("after=3 ") && sent_at.elapsed() > Duration::from_secs(5), "{after}");
    assert!(controller.log_contains("discovery sent an older list than the known one"));
}

#[test]
fn calls_stay_within_the_size_limit_in_a_burst_of_joins() {
    let (relay, discovery) = (Relay::open(), ScriptedDiscovery::idle());
    let (proxies, slices) = (2400, 1300);
    let config_for = |listen| {
        let text = config_text(listen, relay.address, discovery);
        text.replace("\"key_ranges\": 40", "\"key_ranges\": 1300").replace("900.5", "1e9")
    };
    let controller = Controller::start_with_config("call-size", config_for);
    let mut subscription = relay.subscriber();
    let joins: String = (0..proxies).map(proxy_joined).collect();
    let tables: String =
        (0..slices).map(|slice| slice_assigned(slice) + &table_entry(slice, "s-1", 1.0)).collect();
    subscription.send(&(SUBSCRIBED.to_owned() + &joins + &tables + PING));
    // All proxies leave, join again and acknowledge a barrier while the first calls are made.
    let leave_and_join = |n: u16| notification("left", &format!("{{\"proxy\":{n}}}")) + &proxy_joined(n);
    let acknowledgement =
        |n: u16| notification("applied", &format!("{{\"proxy\":{n},\"mark\":1,\"took_ms\":9.5}}"));
    for _ in 0..3 {
        subscription.send(&(0..proxies).map(|n| leave_and_join(n) + &acknowledgement(n)).collect::<String>());
    }
    let (mut caller, mut call) = relay.caller();
    let mut entries = 0;
    while entries < usize::from(slices) {
        assert!(call.len() < 60_000, "a call has {} bytes", call.len());
        entries += call.matches("\"share\"").count();
        caller.send(&all_accepted(&call));
        if entries < usize::from(slices) {
            call = caller.next_line("a call with further entries");
        }
    }
    assert_eq!(entries, usize::from(slices), "expected one request for each standby");
    assert!(
        controller.try_ping() && relay.subscribers.try_recv().is_err(),
        "the controller did not answer a ping, or subscribed again"
    );
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", controller.child.id())).expect("the process runs");
    let memory =
        status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("the status has VmRSS").trim();
    let megabytes =
        memory.split(' ').next().and_then(|kb| kb.parse::<u64>().ok()).expect("VmRSS is a number") >> 10;
    // Half of the memory limit in the configuration; on long runs the platform charges for memory use above that.
    assert!(megabytes <= 16, "{memory}");
}

#[test]
fn sigterm_exits_with_0_during_a_call_and_during_start() {
    let (_relay, mut controller, _subscription, _caller, _) = start_with_pending_call("sigterm");
    controller.signal(libc::SIGTERM);
    let (code, elapsed) = wait_for_exit(&mut controller);
    // The platform sends SIGKILL no sooner than 0.7 s after SIGTERM.
    assert!(code == Some(0) && elapsed < Duration::from_millis(700), "exit code {code:?} after {elapsed:?}");
    // A named pipe as the configuration file blocks the start before the controller watches for signals.
    let pipe = std::env::temp_dir().join(format!("railhub-config-pipe-{}", std::process::id()));
    let name =
        std::ffi::CString::new(pipe.to_str().expect("the path is UTF-8")).expect("the path has no zero byte");
    // SAFETY: the name ends in a zero byte and is only read.
    assert_eq!(unsafe { libc::mkfifo(name.as_ptr(), 0o600) }, 0);
    let listen = free_address();
    let mut starting = Controller::spawn(pipe.clone(), listen);
    // The controller opens the pipe after it has registered its signals; the writing end can be opened only then.
    let mut writer = None;
    eventually("the controller opens the pipe", || {
        writer = OpenOptions::new().write(true).custom_flags(libc::O_NONBLOCK).open(&pipe).ok();
        writer.is_some()
    });
    let mut writer = writer.expect("the writing end was opened");
    starting.signal(libc::SIGTERM);
    let text = config_text(listen, Relay::open().address, ScriptedDiscovery::idle());
    writer.write_all(text.as_bytes()).expect("the controller reads the pipe");
    drop(writer);
    assert_eq!(wait_for_exit(&mut starting).0, Some(0));
}

#[test]
fn controller_starts_and_restarts_without_relay_and_discovery() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let closed = free_address();
    let silent = silent.local_addr().map(|address| (address, silent)).expect("the listener is bound");
    for (n, (relay, discovery)) in
        [(closed, closed), (silent.0, silent.0), (closed, silent.0), (silent.0, closed)]
            .into_iter()
            .enumerate()
    {
        let mut controller = Controller::start(&format!("without-peers-{n}"), relay, discovery);
        let client = TcpStream::connect(controller.listen).expect("the controller listens");
        controller.signal(libc::SIGKILL);
        wait_for_exit(&mut controller);
        // Restarts at once at the same address, while the client still has a connection to the killed process open.
        let restarted = Controller::spawn(controller.config_file.clone(), controller.listen);
        eventually("the restarted controller answers a ping", || restarted.try_ping());
        drop(client);
    }
}
