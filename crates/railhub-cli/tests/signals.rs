//! Signals and closes that cross a request, at each stage of a connection to the steward's address, and requests whose
//! bytes come in pieces.
mod common;

use common::line::{collector_frame, ping_frame, wait_until_read, Line};
use common::sockets::{self, holds_socket, steward_end, SilentPeers};
use common::{eventually, file_text, framed, Steward};
use std::io::Read;
use std::os::unix::process::ExitStatusExt;
use std::time::{Duration, Instant};

/// SIGKILL follows SIGTERM no sooner than this.
const END_WITHIN: Duration = Duration::from_millis(700);
/// Bytes of a ping that are sent before the event where it comes in the middle of a request.
const HALF_A_PING: usize = 7;
const PINGS_IN_ONE_PACKET: usize = 5;

/// Where a connection is when the event comes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The kernel has taken the connection and a request; the steward, which is stopped, has not.
    NotAccepted,
    Accepted,
    MidRequest,
    /// Whole requests have come; the steward is stopped.
    RequestWaits,
    /// Answers stand in the steward's send buffer, as the peer does not read.
    MidAnswer,
    BetweenRequests,
}

const STAGES: [Stage; 6] = [
    Stage::NotAccepted,
    Stage::Accepted,
    Stage::MidRequest,
    Stage::RequestWaits,
    Stage::MidAnswer,
    Stage::BetweenRequests,
];

impl Stage {
    /// Whether the steward is stopped while the event comes.
    fn is_stopped(self) -> bool {
        [Stage::NotAccepted, Stage::RequestWaits].contains(&self)
    }

    /// Brings a connection that has sent nothing, or has joined, to this stage.
    fn reach(self, steward: &Steward, line: &mut Line) {
        match self {
            Stage::NotAccepted | Stage::Accepted => {}
            Stage::MidRequest => {
                line.write(&ping_frame()[..HALF_A_PING]);
                wait_until_read(steward);
            }
            Stage::RequestWaits => {
                line.write_pings(PINGS_IN_ONE_PACKET);
            }
            Stage::MidAnswer => line.block_answers(),
            Stage::BetweenRequests => {
                line.ping();
            }
        }
    }

    /// Sends what the request at this stage still lacks.
    fn complete(self, line: &mut Line) {
        match self {
            Stage::MidRequest => line.finish_ping(&ping_frame()[HALF_A_PING..]),
            _ => line.write_pings(1),
        };
    }
}

/// A steward with a visitor and a collector at one stage.
struct Crossing {
    stage: Stage,
    steward: Steward,
    lines: Vec<Line>,
    /// One that has joined and sends nothing while the event comes.
    witness: Line,
}

impl Crossing {
    fn at(stage: Stage, name: &str, peers: &SilentPeers) -> Crossing {
        let steward = peers.steward(&format!("{name}-{stage:?}"));
        let mut collector = Line::collector(&steward, "a");
        let witness = Line::collector(&steward, "b");
        if stage == Stage::RequestWaits {
            let mut visitor = Line::visitor(&steward);
            stop(&steward);
            [&mut visitor, &mut collector].into_iter().for_each(|line| stage.reach(&steward, line));
            return Crossing { stage, steward, lines: vec![visitor, collector], witness };
        }
        if stage == Stage::NotAccepted {
            stop(&steward);
            let mut late = Line::connect(&steward);
            late.write_pings(PINGS_IN_ONE_PACKET);
            return Crossing { stage, steward, lines: vec![late], witness };
        }
        stage.reach(&steward, &mut collector);
        let visitor = Crossing::visitor(stage, &steward);
        Crossing { stage, steward, lines: vec![visitor, collector], witness }
    }

    /// On a busy machine the time to join may run out before the stage is reached.
    fn visitor(stage: Stage, steward: &Steward) -> Line {
        const TRIES: usize = 50;
        let reached = (0..TRIES).find_map(|_| {
            let mut visitor = Line::visitor(steward);
            stage.reach(steward, &mut visitor);
            steward_end(&visitor.stream).is_some().then_some(visitor)
        });
        reached.expect("a visitor at this stage")
    }

    fn signal(&self, signal: i32) {
        self.steward.signal(signal);
        if self.stage.is_stopped() {
            self.steward.signal(libc::SIGCONT);
        }
    }
}

/// Returns once all threads of the process stand still.
fn stop(steward: &Steward) {
    steward.signal(libc::SIGSTOP);
    let tasks = format!("/proc/{}/task", steward.child.id());
    let is_stopped = |task: std::fs::DirEntry| {
        let status = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        status.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
    };
    eventually("stopped", || std::fs::read_dir(&tasks).expect("a process").flatten().all(is_stopped));
}

/// Waits for the process to end; tells its exit code, its signal and the time.
fn wait_for_end(steward: &mut Steward) -> (Option<i32>, Option<i32>, Duration) {
    let began = Instant::now();
    eventually("it ends", || steward.ended().is_some());
    let status = steward.ended().expect("it ended");
    (status.code(), status.signal(), began.elapsed())
}

fn starts_anew_at_the_same_address(steward: &Steward) {
    let next = Steward::of_file(steward.file.clone(), steward.listen);
    eventually("a new process answers", || next.try_ping());
}

#[test]
fn sighup_at_any_stage_of_a_request_changes_nothing_for_the_connection() {
    for stage in STAGES {
        let peers = SilentPeers::open();
        let mut crossing = Crossing::at(stage, "sighup", &peers);
        let next = SilentPeers::open();
        let (relay, discovery) = next.addresses();
        let text = file_text(crossing.steward.listen, relay, discovery);
        std::fs::write(&crossing.steward.file, text).expect("writable");
        crossing.signal(libc::SIGHUP);
        assert!(next.first_line_to_relay().contains("\"subscribe\""), "{stage:?}");
        for mut line in crossing.lines {
            stage.complete(&mut line);
            line.goes_on();
        }
        assert!(crossing.witness.ping() && crossing.steward.try_ping(), "{stage:?}");
    }
}

#[test]
fn sigterm_at_any_stage_of_a_request_answers_or_closes_and_exits_with_0_at_once() {
    for stage in STAGES {
        let peers = SilentPeers::open();
        let mut crossing = Crossing::at(stage, "sigterm", &peers);
        crossing.signal(libc::SIGTERM);
        let (code, _, within) = wait_for_end(&mut crossing.steward);
        assert!(code == Some(0) && within < END_WITHIN, "{stage:?}: {code:?} after {within:?}");
        for mut line in crossing.lines {
            stage.complete(&mut line);
            line.end();
        }
        crossing.witness.end();
        starts_anew_at_the_same_address(&crossing.steward);
    }
}

#[test]
fn sigkill_at_any_stage_of_a_request_closes_and_a_new_process_answers() {
    for stage in STAGES {
        let peers = SilentPeers::open();
        let mut crossing = Crossing::at(stage, "sigkill", &peers);
        crossing.signal(libc::SIGKILL);
        let (_, signal, _) = wait_for_end(&mut crossing.steward);
        assert_eq!(signal, Some(libc::SIGKILL));
        starts_anew_at_the_same_address(&crossing.steward);
        for mut line in crossing.lines {
            stage.complete(&mut line);
            line.end();
        }
        crossing.witness.end();
    }
}

#[test]
fn a_peer_that_closes_or_resets_at_any_stage_leaves_nothing_behind() {
    let ends: [fn(Line); 2] = [|line| drop(line.stream), |line| sockets::reset(line.stream)];
    for stage in STAGES {
        for end in ends {
            let peers = SilentPeers::open();
            let mut crossing = Crossing::at(stage, "peer-closes", &peers);
            let inodes: Vec<u64> = crossing
                .lines
                .iter()
                .filter_map(|line| steward_end(&line.stream))
                .map(|end| end.inode)
                .filter(|inode| *inode != 0)
                .collect();
            crossing.lines.drain(..).for_each(end);
            if stage.is_stopped() {
                crossing.steward.signal(libc::SIGCONT);
            }
            eventually("the sockets are closed", || {
                inodes.iter().all(|inode| !holds_socket(&crossing.steward, *inode))
            });
            assert!(crossing.witness.ping() && crossing.steward.try_ping(), "{stage:?}");
        }
    }
}

#[test]
fn a_peer_that_closes_its_writing_side_gets_the_answers_to_whole_requests_and_a_close() {
    for stage in STAGES {
        let peers = SilentPeers::open();
        let mut crossing = Crossing::at(stage, "half-closed", &peers);
        crossing.lines.iter().for_each(Line::shutdown_write);
        if stage.is_stopped() {
            crossing.steward.signal(libc::SIGCONT);
        }
        crossing.lines.drain(..).for_each(Line::end_answered);
        assert!(crossing.witness.ping() && crossing.steward.try_ping(), "{stage:?}");
    }
}

/// Sends the pieces one by one, each after the steward has read the one before.
fn send_in_pieces<'a>(steward: &Steward, line: &mut Line, pieces: impl Iterator<Item = &'a [u8]>) {
    for piece in pieces {
        line.write(piece);
        wait_until_read(steward);
    }
}

#[test]
fn requests_cut_at_every_index_or_into_single_bytes_are_answered() {
    let peers = SilentPeers::open();
    let steward = peers.steward("pieces");
    let mut line = Line::collector(&steward, "a");
    let report = framed(
        r#"{"t":"heard","zone":"a","server":"s-1","tries":2,"failed":0,"mean_ms":4,"span_ms":1000,"load":{"util":0.5}}"#,
    );
    let last = ping_frame().len() - 1;
    let messages = [report, ping_frame()].concat();
    for cut in 1..messages.len() {
        let (first, second) = messages.split_at(cut);
        send_in_pieces(&steward, &mut line, [first, second].into_iter());
        assert!(line.finish_ping(&[]) && line.is_answered(), "cut at {cut}");
    }
    let (pieces, end) = messages.split_at(messages.len() - last);
    send_in_pieces(&steward, &mut line, pieces.chunks(1));
    send_in_pieces(&steward, &mut line, end.chunks(1));
    assert!(line.finish_ping(&[]) && line.is_answered(), "single bytes");
}

#[test]
fn a_collector_that_joins_by_a_message_cut_at_any_index_stays() {
    let peers = SilentPeers::open();
    let steward = peers.steward("pieces-to-join");
    let messages = [collector_frame("a"), ping_frame()].concat();
    for cut in 1..messages.len() {
        let (first, second) = messages.split_at(cut);
        let mut line = Line::visitor(&steward);
        send_in_pieces(&steward, &mut line, [first, second].into_iter());
        line.finish_ping(&[]);
        line.shutdown_write();
        line.end_answered();
    }
}

#[test]
fn requests_in_one_packet_are_answered_in_their_order() {
    let peers = SilentPeers::open();
    let steward = peers.steward("one-packet");
    let mut line = Line::visitor(&steward);
    let refused = framed(r#"{"t":"joined","proxy":1,"zone":"a"}"#);
    line.write(&[ping_frame(), ping_frame(), refused].concat());
    let mut answers = Vec::new();
    line.stream.read_to_end(&mut answers).expect("answers and a close");
    let pongs = framed(r#"{"t":"pong"}"#).repeat(2);
    let rest = answers.strip_prefix(&pongs[..]).expect("both pongs come first");
    assert!(rest[4..].starts_with(br#"{"t":"refused""#), "{}", String::from_utf8_lossy(rest));
}

#[test]
fn a_join_that_ends_just_before_its_time_runs_out_joins_for_good_or_is_closed() {
    let peers = SilentPeers::open();
    let steward = peers.steward("late-join");
    let message = [collector_frame("a"), ping_frame()].concat();
    let (first, last_byte) = message.split_at(message.len() - 1);
    // Close to the bound each end of the race is allowed; well before it, only one is.
    for wait in [600, 900, 950, 980, 990, 995, 998, 1000, 1002] {
        let opened = Instant::now();
        let mut line = Line::visitor(&steward);
        let (collector, ping) = first.split_at(collector_frame("a").len() - 1);
        line.write(collector);
        std::thread::sleep(Duration::from_millis(wait).saturating_sub(opened.elapsed()));
        line.write(ping);
        let is_in_time = line.finish_ping(last_byte) && line.is_answered();
        if is_in_time {
            std::thread::sleep(Duration::from_millis(1200).saturating_sub(opened.elapsed()));
            assert!(line.ping(), "joined after {wait} ms, and thrown out when the time to join ran out");
        } else {
            assert!(opened.elapsed() >= Duration::from_secs(1), "closed in time, at {wait} ms");
        }
    }
}

#[test]
fn a_request_and_a_close_that_come_in_the_same_instant_end_in_an_answer() {
    let peers = SilentPeers::open();
    let steward = peers.steward("same-instant");
    let mut witness = Line::collector(&steward, "b");
    for _ in 0..20 {
        let mut lines = [Line::collector(&steward, "a"), Line::visitor(&steward)];
        stop(&steward);
        for line in &mut lines {
            line.write_pings(PINGS_IN_ONE_PACKET);
            line.write(&ping_frame()[..HALF_A_PING]);
            line.shutdown_write();
        }
        let mut closed = Line::connect(&steward);
        closed.write_pings(1);
        drop(closed);
        steward.signal(libc::SIGCONT);
        lines.into_iter().for_each(Line::end_answered);
    }
    assert!(witness.ping() && steward.try_ping());
}

#[test]
fn requests_that_come_while_the_process_ends_are_answered_or_closed() {
    let peers = SilentPeers::open();
    for _ in 0..5 {
        let mut steward = peers.steward("requests-at-the-end");
        let collector = Line::collector(&steward, "a");
        let visitor = Line::visitor(&steward);
        // Each thread writes until the connection ends, so some request comes at the very instant of it.
        let writing: Vec<_> = [collector, visitor]
            .into_iter()
            .map(|mut line| {
                std::thread::spawn(move || {
                    while line.ping() {}
                    let mut rest = Vec::new();
                    let result = line.stream.read_to_end(&mut rest);
                    !result.is_err_and(|fault| fault.kind() == std::io::ErrorKind::WouldBlock)
                })
            })
            .collect();
        steward.signal(libc::SIGTERM);
        let (code, _, within) = wait_for_end(&mut steward);
        assert!(code == Some(0) && within < END_WITHIN, "{code:?} after {within:?}");
        assert!(writing.into_iter().all(|line| line.join().expect("it ends")), "silence is no answer");
    }
}
