//! Signals and closes that coincide with a request, at each stage of a connection to the controller, and requests whose
//! bytes arrive in parts.
mod common;

use common::client_connection::{collector_frame, ping_frame, wait_until_input_read, ClientConnection};
use common::sockets::{self, controller_socket, has_socket_open, SilentPeers};
use common::{config_text, eventually, framed, Controller};
use std::io::Read;
use std::os::unix::process::ExitStatusExt;
use std::time::{Duration, Instant};

/// The platform sends SIGKILL no sooner than this after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_millis(700);
/// Bytes of a ping that are sent before an event in the middle of a request.
const PARTIAL_PING_BYTES: usize = 7;
const PINGS_PER_PACKET: usize = 5;

/// The state of a connection when the event under test occurs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The kernel has accepted the connection and a request; the controller, which is stopped, has not.
    NotAccepted,
    Accepted,
    MidRequest,
    /// Complete requests have arrived; the controller is stopped.
    RequestPending,
    /// Responses wait in the controller's send buffer because the peer does not read.
    ResponseBlocked,
    BetweenRequests,
}

const STAGES: [Stage; 6] = [
    Stage::NotAccepted,
    Stage::Accepted,
    Stage::MidRequest,
    Stage::RequestPending,
    Stage::ResponseBlocked,
    Stage::BetweenRequests,
];

impl Stage {
    /// Whether the controller is stopped when the event occurs.
    fn is_stopped(self) -> bool {
        [Stage::NotAccepted, Stage::RequestPending].contains(&self)
    }

    /// Brings a connection that has sent nothing, or has joined, to this stage.
    fn reach(self, controller: &Controller, connection: &mut ClientConnection) {
        match self {
            Stage::NotAccepted | Stage::Accepted => {}
            Stage::MidRequest => {
                connection.write(&ping_frame()[..PARTIAL_PING_BYTES]);
                wait_until_input_read(controller);
            }
            Stage::RequestPending => {
                connection.write_pings(PINGS_PER_PACKET);
            }
            Stage::ResponseBlocked => connection.fill_send_buffer(),
            Stage::BetweenRequests => {
                connection.ping();
            }
        }
    }

    /// Sends the rest of the request at this stage, or one more request.
    fn complete(self, connection: &mut ClientConnection) {
        match self {
            Stage::MidRequest => connection.finish_ping(&ping_frame()[PARTIAL_PING_BYTES..]),
            _ => connection.write_pings(1),
        };
    }
}

/// A controller with connections at one stage: an unidentified one and, if the stage allows it, a collector.
struct StagedConnections {
    stage: Stage,
    controller: Controller,
    connections: Vec<ClientConnection>,
    /// Has joined and sends nothing during the event.
    idle_collector: ClientConnection,
}

impl StagedConnections {
    fn at(stage: Stage, name: &str, peers: &SilentPeers) -> StagedConnections {
        let controller = peers.start_controller(&format!("{name}-{stage:?}"));
        let mut collector = ClientConnection::collector(&controller, "a");
        let idle_collector = ClientConnection::collector(&controller, "b");
        if stage == Stage::RequestPending {
            let mut unidentified = ClientConnection::unidentified(&controller);
            stop(&controller);
            [&mut unidentified, &mut collector]
                .into_iter()
                .for_each(|connection| stage.reach(&controller, connection));
            return StagedConnections {
                stage,
                controller,
                connections: vec![unidentified, collector],
                idle_collector,
            };
        }
        if stage == Stage::NotAccepted {
            stop(&controller);
            let mut late = ClientConnection::connect(&controller);
            late.write_pings(PINGS_PER_PACKET);
            return StagedConnections { stage, controller, connections: vec![late], idle_collector };
        }
        stage.reach(&controller, &mut collector);
        let unidentified = StagedConnections::unidentified(stage, &controller);
        StagedConnections { stage, controller, connections: vec![unidentified, collector], idle_collector }
    }

    /// Repeats the attempt, since on a busy machine the join timeout may expire before the stage is reached.
    fn unidentified(stage: Stage, controller: &Controller) -> ClientConnection {
        const MAX_ATTEMPTS: usize = 50;
        let reached = (0..MAX_ATTEMPTS).find_map(|_| {
            let mut unidentified = ClientConnection::unidentified(controller);
            stage.reach(controller, &mut unidentified);
            controller_socket(&unidentified.stream).is_some().then_some(unidentified)
        });
        reached.expect("an unidentified connection reaches the stage before the join timeout")
    }

    fn signal(&self, signal: i32) {
        self.controller.signal(signal);
        if self.stage.is_stopped() {
            self.controller.signal(libc::SIGCONT);
        }
    }
}

/// Stops the process and returns once all its threads are stopped.
fn stop(controller: &Controller) {
    controller.signal(libc::SIGSTOP);
    let tasks = format!("/proc/{}/task", controller.child.id());
    let is_stopped = |task: std::fs::DirEntry| {
        let status = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        status.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
    };
    eventually("all threads are stopped", || {
        std::fs::read_dir(&tasks).expect("the process runs").flatten().all(is_stopped)
    });
}

/// Waits for the process to exit; returns its exit code, the signal that ended it and the time it took.
fn wait_for_exit(controller: &mut Controller) -> (Option<i32>, Option<i32>, Duration) {
    let started_at = Instant::now();
    eventually("the process exits", || controller.exit_status().is_some());
    let status = controller.exit_status().expect("the process exited");
    (status.code(), status.signal(), started_at.elapsed())
}

fn assert_restarts_at_same_address(controller: &Controller) {
    let next = Controller::spawn(controller.config_file.clone(), controller.listen);
    eventually("a new process answers", || next.try_ping());
}

#[test]
fn sighup_at_any_request_stage_leaves_connections_open() {
    for stage in STAGES {
        let peers = SilentPeers::open();
        let mut staged = StagedConnections::at(stage, "sighup", &peers);
        let next = SilentPeers::open();
        let (relay, discovery) = next.addresses();
        let text = config_text(staged.controller.listen, relay, discovery);
        std::fs::write(&staged.controller.config_file, text).expect("the temporary folder is writable");
        staged.signal(libc::SIGHUP);
        assert!(next.first_line_to_relay().contains("\"subscribe\""), "{stage:?}");
        for mut connection in staged.connections {
            stage.complete(&mut connection);
            connection.assert_served_or_expired();
        }
        assert!(staged.idle_collector.ping() && staged.controller.try_ping(), "{stage:?}");
    }
}

#[test]
fn sigterm_at_any_request_stage_exits_with_0_in_time() {
    for stage in STAGES {
        let peers = SilentPeers::open();
        let mut staged = StagedConnections::at(stage, "sigterm", &peers);
        staged.signal(libc::SIGTERM);
        let (code, _, elapsed) = wait_for_exit(&mut staged.controller);
        assert!(code == Some(0) && elapsed < EXIT_TIMEOUT, "{stage:?}: exit code {code:?} after {elapsed:?}");
        for mut connection in staged.connections {
            stage.complete(&mut connection);
            connection.wait_for_close();
        }
        staged.idle_collector.wait_for_close();
        assert_restarts_at_same_address(&staged.controller);
    }
}

#[test]
fn controller_restarts_after_sigkill_at_any_request_stage() {
    for stage in STAGES {
        let peers = SilentPeers::open();
        let mut staged = StagedConnections::at(stage, "sigkill", &peers);
        staged.signal(libc::SIGKILL);
        let (_, signal, _) = wait_for_exit(&mut staged.controller);
        assert_eq!(signal, Some(libc::SIGKILL));
        assert_restarts_at_same_address(&staged.controller);
        for mut connection in staged.connections {
            stage.complete(&mut connection);
            connection.wait_for_close();
        }
        staged.idle_collector.wait_for_close();
    }
}

#[test]
fn sockets_are_closed_after_a_peer_closes_at_any_stage() {
    let closings: [fn(ClientConnection); 2] =
        [|connection| drop(connection.stream), |connection| sockets::reset(connection.stream)];
    for stage in STAGES {
        for close in closings {
            let peers = SilentPeers::open();
            let mut staged = StagedConnections::at(stage, "peer-closes", &peers);
            let inodes: Vec<u64> = staged
                .connections
                .iter()
                .filter_map(|connection| controller_socket(&connection.stream))
                .map(|socket| socket.inode)
                .filter(|inode| *inode != 0)
                .collect();
            staged.connections.drain(..).for_each(close);
            if stage.is_stopped() {
                staged.controller.signal(libc::SIGCONT);
            }
            eventually("the sockets are closed", || {
                inodes.iter().all(|inode| !has_socket_open(&staged.controller, *inode))
            });
            assert!(staged.idle_collector.ping() && staged.controller.try_ping(), "{stage:?}");
        }
    }
}

#[test]
fn a_half_closed_peer_gets_its_responses_and_a_close() {
    for stage in STAGES {
        let peers = SilentPeers::open();
        let mut staged = StagedConnections::at(stage, "half-closed", &peers);
        staged.connections.iter().for_each(ClientConnection::shutdown_write);
        if stage.is_stopped() {
            staged.controller.signal(libc::SIGCONT);
        }
        staged.connections.drain(..).for_each(ClientConnection::assert_answered_or_expired);
        assert!(staged.idle_collector.ping() && staged.controller.try_ping(), "{stage:?}");
    }
}

/// Sends the parts one by one, each after the controller has read the previous one.
fn send_in_parts<'a>(
    controller: &Controller,
    connection: &mut ClientConnection,
    parts: impl Iterator<Item = &'a [u8]>,
) {
    for part in parts {
        connection.write(part);
        wait_until_input_read(controller);
    }
}

#[test]
fn requests_split_at_any_byte_or_into_single_bytes_are_answered() {
    let peers = SilentPeers::open();
    let controller = peers.start_controller("parts");
    let mut connection = ClientConnection::collector(&controller, "a");
    let report = framed(
        r#"{"t":"heard","zone":"a","server":"s-1","tries":2,"failed":0,"mean_ms":4,"span_ms":1000,"load":{"util":0.5}}"#,
    );
    let end_bytes = ping_frame().len() - 1;
    let messages = [report, ping_frame()].concat();
    for cut in 1..messages.len() {
        let (first, second) = messages.split_at(cut);
        send_in_parts(&controller, &mut connection, [first, second].into_iter());
        assert!(connection.finish_ping(&[]) && connection.receives_pongs(), "split at byte {cut}");
    }
    let (start, end) = messages.split_at(messages.len() - end_bytes);
    send_in_parts(&controller, &mut connection, start.chunks(1));
    send_in_parts(&controller, &mut connection, end.chunks(1));
    assert!(connection.finish_ping(&[]) && connection.receives_pongs(), "sent as single bytes");
}

#[test]
fn a_collector_can_join_by_a_message_split_at_any_byte() {
    let peers = SilentPeers::open();
    let controller = peers.start_controller("join-in-parts");
    let messages = [collector_frame("a"), ping_frame()].concat();
    for cut in 1..messages.len() {
        let (first, second) = messages.split_at(cut);
        let mut connection = ClientConnection::unidentified(&controller);
        send_in_parts(&controller, &mut connection, [first, second].into_iter());
        connection.finish_ping(&[]);
        connection.shutdown_write();
        connection.assert_answered_or_expired();
    }
}

#[test]
fn requests_in_one_packet_are_answered_in_order() {
    let peers = SilentPeers::open();
    let controller = peers.start_controller("one-packet");
    let mut connection = ClientConnection::unidentified(&controller);
    let refused = framed(r#"{"t":"joined","proxy":1,"zone":"a"}"#);
    connection.write(&[ping_frame(), ping_frame(), refused].concat());
    let mut responses = Vec::new();
    connection.stream.read_to_end(&mut responses).expect("the controller responds and closes the connection");
    let pongs = framed(r#"{"t":"pong"}"#).repeat(2);
    let rest = responses.strip_prefix(&pongs[..]).expect("two pongs precede the refusal");
    assert!(rest[4..].starts_with(br#"{"t":"refused""#), "{}", String::from_utf8_lossy(rest));
}

#[test]
fn a_join_close_to_its_timeout_lasts_or_is_closed() {
    let peers = SilentPeers::open();
    let controller = peers.start_controller("late-join");
    let message = [collector_frame("a"), ping_frame()].concat();
    let (first, last_byte) = message.split_at(message.len() - 1);
    // Close to the timeout of 1 s both outcomes of the race are allowed; well before it the join must succeed.
    for wait in [600, 900, 950, 980, 990, 995, 998, 1000, 1002] {
        let opened = Instant::now();
        let mut connection = ClientConnection::unidentified(&controller);
        let (collector, ping) = first.split_at(collector_frame("a").len() - 1);
        connection.write(collector);
        std::thread::sleep(Duration::from_millis(wait).saturating_sub(opened.elapsed()));
        connection.write(ping);
        let is_in_time = connection.finish_ping(last_byte) && connection.receives_pongs();
        if is_in_time {
            std::thread::sleep(Duration::from_millis(1200).saturating_sub(opened.elapsed()));
            assert!(connection.ping(), "joined after {wait} ms, but closed when the join timeout expired");
        } else {
            assert!(
                opened.elapsed() >= Duration::from_secs(1),
                "closed before the join timeout, at {wait} ms"
            );
        }
    }
}

#[test]
fn requests_that_arrive_together_with_a_close_are_answered() {
    let peers = SilentPeers::open();
    let controller = peers.start_controller("requests-with-close");
    let mut idle_collector = ClientConnection::collector(&controller, "b");
    for _ in 0..20 {
        let mut connections =
            [ClientConnection::collector(&controller, "a"), ClientConnection::unidentified(&controller)];
        stop(&controller);
        for connection in &mut connections {
            connection.write_pings(PINGS_PER_PACKET);
            connection.write(&ping_frame()[..PARTIAL_PING_BYTES]);
            connection.shutdown_write();
        }
        let mut closed = ClientConnection::connect(&controller);
        closed.write_pings(1);
        drop(closed);
        controller.signal(libc::SIGCONT);
        connections.into_iter().for_each(ClientConnection::assert_answered_or_expired);
    }
    assert!(idle_collector.ping() && controller.try_ping());
}

#[test]
fn requests_during_exit_are_answered_or_closed() {
    let peers = SilentPeers::open();
    for _ in 0..5 {
        let mut controller = peers.start_controller("requests-at-the-end");
        let collector = ClientConnection::collector(&controller, "a");
        let unidentified = ClientConnection::unidentified(&controller);
        // Each thread sends requests until the connection is closed, so one of them coincides with the exit.
        let writing: Vec<_> = [collector, unidentified]
            .into_iter()
            .map(|mut connection| {
                std::thread::spawn(move || {
                    while connection.ping() {}
                    let mut rest = Vec::new();
                    let result = connection.stream.read_to_end(&mut rest);
                    !result.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
                })
            })
            .collect();
        controller.signal(libc::SIGTERM);
        let (code, _, elapsed) = wait_for_exit(&mut controller);
        assert!(code == Some(0) && elapsed < EXIT_TIMEOUT, "exit code {code:?} after {elapsed:?}");
        assert!(
            writing.into_iter().all(|thread| thread.join().expect("the writing thread ends")),
            "a connection was neither answered nor closed"
        );
    }
}
