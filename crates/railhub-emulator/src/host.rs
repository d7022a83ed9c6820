//! A host: so many cores, a queue, a cold start, and troubles that can be put on it.
use crate::ClassFacts;
use may::net::TcpStream;
use may::sync::Mutex;
use railhub_net::{
    http, now, reset_on_close, seconds, spawn, split_framed, FrameReader, FrameWriter, IdleTimeout, Listener,
};
use railhub_proto::{
    from_host, to_host, AttemptOutcome, FromHost, HostHello, Operation, Response, ToHost,
    MAX_HOST_MESSAGE_BYTES,
};
use railhub_record::{Effect, HostDown, HostUp, Recorder, Repeats, What};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;

/// Seconds between looks while a host stands still.
const STILL_LOOK: f64 = 0.01;
/// Seconds a host leaves an unanswered probe's connection open: longer than any prober waits.
const PROBE_HELD: f64 = 3.0;
/// Keys remembered by one host and repeats remembered by a group at the most.
const KEYS_MOST: usize = 20_000;

/// What a host is. Times in seconds, speed 1 is the yardstick.
#[derive(Clone, Debug)]
pub struct HostFacts {
    pub zone: u32,
    pub kind: u16,
    pub cores: usize,
    pub speed: f64,
    /// Operations that may wait; past it they are turned away unseen.
    pub queue: usize,
    pub cold_from: f64,
    pub warm_after: f64,
    pub connections: usize,
    pub probe_work: f64,
    /// It tells its busy share in answers, refreshed so often; 0: never.
    pub busy_every: f64,
    /// Share of the work saved for a key met within so many seconds.
    pub kept_gain: f64,
    pub kept_for: f64,
}

/// Repeats that are recognised by their key, by all hosts of a fleet or those of a zone.
#[derive(Default)]
pub struct SeenKeys {
    /// When an operation first came, by zone where only a zone's hosts tell each other.
    seen: BTreeMap<(Option<u32>, u64), f64>,
}

impl SeenKeys {
    /// Whether this is a repeat, to be dropped; else it is remembered.
    pub fn is_repeat(&mut self, class: &ClassFacts, zone: u32, operation: u64, now: f64) -> bool {
        let group = match class.repeats {
            Repeats::IdempotencyKeyGlobal => None,
            Repeats::IdempotencyKeyLocal => Some(zone),
            Repeats::Safe | Repeats::Never => return false,
        };
        if self.seen.len() > KEYS_MOST {
            self.seen.retain(|_, at| now - *at <= class.key_window);
        }
        let first = *self.seen.entry((group, operation)).or_insert(now);
        first < now && now - first <= class.key_window
    }
}

/// The same for hosts that share it.
#[derive(Clone, Default)]
pub struct Repeated(Arc<Mutex<SeenKeys>>);

impl Repeated {
    fn is_repeat(&self, class: &ClassFacts, zone: u32, operation: u64, now: f64) -> bool {
        self.0.lock().expect("no holder panics").is_repeat(class, zone, operation, now)
    }
}

/// Troubles of a host.
#[derive(Clone, Debug)]
pub struct Ailments {
    pub slower: f64,
    pub hangs: bool,
    pub fails: bool,
    pub answers_lost: f64,
    pub still_until: f64,
    pub drains: bool,
}

impl Default for Ailments {
    fn default() -> Ailments {
        Ailments {
            slower: 1.0,
            hangs: false,
            fails: false,
            answers_lost: 0.0,
            still_until: 0.0,
            drains: false,
        }
    }
}

pub struct Host {
    pub address: SocketAddr,
    pub facts: HostFacts,
    classes: Arc<Vec<ClassFacts>>,
    repeated: Repeated,
    recorder: Recorder,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    alive: bool,
    /// Counts starts: what an earlier process had in hand is lost.
    life: u64,
    started: f64,
    cold: bool,
    ailments: Ailments,
    running: usize,
    queue: VecDeque<Job>,
    cancelled: BTreeSet<(u64, u64)>,
    kept: BTreeMap<u64, f64>,
    connections: BTreeMap<u64, Arc<Mutex<FrameWriter>>>,
    last_connection: u64,
    answered: u64,
    busy: BusyMeter,
}

struct Job {
    connection: u64,
    writer: Arc<Mutex<FrameWriter>>,
    operation: Operation,
    came: f64,
}

/// A host with its door; it ends when this is dropped.
pub struct OpenHost {
    pub host: Arc<Host>,
    _door: Listener,
}

impl OpenHost {
    /// The process is not up yet: see [`Host::start`].
    pub fn open(
        facts: HostFacts,
        classes: Arc<Vec<ClassFacts>>,
        repeated: Repeated,
        recorder: Recorder,
    ) -> io::Result<OpenHost> {
        let slot: Arc<std::sync::OnceLock<Arc<Host>>> = Arc::default();
        let door = slot.clone();
        let listener = Listener::open(SocketAddr::from(([127, 0, 0, 1], 0)), move |stream, _| {
            if let Some(host) = door.get() {
                host.clone().welcome(stream);
            }
        })?;
        let state = Mutex::new(State::default());
        let host = Arc::new(Host { address: listener.address, facts, classes, repeated, recorder, state });
        let _ = slot.set(host.clone());
        Ok(OpenHost { host, _door: listener })
    }
}

impl Host {
    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().expect("no holder panics"))
    }

    /// Its process starts, cold or as if it had run for long.
    pub fn start(&self, cold: bool) -> f64 {
        let at = now();
        self.with(|state| {
            let (life, last_connection) = (state.life + 1, state.last_connection);
            let fresh = State { alive: true, life, started: at, cold, last_connection, ..State::default() };
            let busy = BusyMeter::new(at);
            *state = State { busy, ..fresh };
        });
        self.recorder.note(
            at,
            What::HostUp(HostUp {
                host: self.address.to_string(),
                zone: self.facts.zone,
                cores: self.facts.cores as f64,
                speed: self.facts.speed,
                cold,
                cold_from: self.facts.cold_from,
                warm_after: self.facts.warm_after,
            }),
        );
        at
    }

    /// Its process dies: what it had in hand is lost, its connections break.
    pub fn die(&self) {
        let connections = self.with(|state| {
            let was_alive = std::mem::replace(&mut state.alive, false);
            state.life += 1;
            state.queue.clear();
            was_alive.then(|| std::mem::take(&mut state.connections))
        });
        let Some(connections) = connections else { return };
        self.recorder.note(now(), What::HostDown(HostDown { host: self.address.to_string() }));
        connections.values().for_each(|writer| writer.lock().expect("no holder panics").close());
    }

    pub fn is_alive(&self) -> bool {
        self.with(|state| state.alive)
    }

    pub fn ail(&self, change: impl FnOnce(&mut Ailments)) {
        self.with(|state| change(&mut state.ailments));
    }

    fn welcome(self: Arc<Host>, stream: TcpStream) {
        if !self.with(|state| state.alive && state.connections.len() < self.facts.connections) {
            reset_on_close(&stream);
            return;
        }
        spawn(move || {
            let _ = self.serve(stream);
        });
    }

    /// A connection is a probe's if it begins like HTTP, else a proxy's.
    fn serve(self: Arc<Host>, mut stream: TcpStream) -> io::Result<()> {
        let mut first = [0u8; 1];
        let guard = IdleTimeout::read_half(&stream, PROBE_HELD);
        if stream.peek(&mut first)? == 0 {
            return Ok(());
        }
        if first[0].is_ascii_alphabetic() {
            return self.answer_probe(&mut stream);
        }
        drop(guard);
        let (reader, writer) = split_framed(stream, MAX_HOST_MESSAGE_BYTES)?;
        self.follow(reader, Arc::new(Mutex::new(writer)));
        Ok(())
    }

    fn answer_probe(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut read = Vec::new();
        if !matches!(http::read_request(stream, &mut read), Ok(Some(_))) {
            return Ok(());
        }
        let (hangs, fails, drains, slower) = self.with(|state| {
            let ailments = &state.ailments;
            (ailments.hangs, ailments.fails, ailments.drains, ailments.slower)
        });
        if hangs {
            let mut end = [0u8; 1];
            let _ = stream.read(&mut end);
            return Ok(());
        }
        self.stand_still(self.with(|state| state.life));
        may::coroutine::sleep(seconds(self.facts.probe_work * slower / self.facts.speed));
        http::write_response(
            stream,
            if fails {
                500
            } else if drains {
                503
            } else {
                200
            },
            b"",
        )
    }

    fn follow(self: Arc<Host>, mut reader: FrameReader, writer: Arc<Mutex<FrameWriter>>) {
        let (connection, started) = self.with(|state| {
            state.last_connection += 1;
            state.connections.insert(state.last_connection, writer.clone());
            (state.last_connection, state.started)
        });
        while let Ok(ToHost { payload: Some(word) }) = reader.receive() {
            match word {
                to_host::Payload::ProxyHello(_) => {
                    let hello = from_host::Payload::Hello(HostHello { started });
                    say(&writer, hello);
                }
                to_host::Payload::Operation(operation) => {
                    let writer = writer.clone();
                    self.clone().take(Job { connection, writer, operation, came: now() });
                }
                to_host::Payload::Cancel(cancel) => self.with(|state| {
                    if state.queue.iter().any(|job| {
                        (job.connection, job.operation.attempt_id) == (connection, cancel.attempt_id)
                    }) {
                        state.cancelled.insert((connection, cancel.attempt_id));
                    }
                }),
            }
        }
        self.with(|state| _ = state.connections.remove(&connection));
        writer.lock().expect("no holder panics").close();
    }

    fn take(self: Arc<Host>, job: Job) {
        let cores = self.facts.cores;
        let (try_id, writer) = (job.operation.attempt_id, job.writer.clone());
        enum Taken {
            Run(u64, Job),
            Waits,
            Full,
        }
        let taken = self.with(|state| {
            if state.running < cores {
                state.busy.count(state.running, now());
                state.running += 1;
                Taken::Run(state.life, job)
            } else if state.queue.len() < self.facts.queue {
                state.queue.push_back(job);
                Taken::Waits
            } else {
                Taken::Full
            }
        });
        match taken {
            Taken::Run(life, job) => _ = spawn(move || self.work(life, job)),
            Taken::Waits => {}
            Taken::Full => {
                let answer = Response {
                    attempt_id: try_id,
                    outcome: AttemptOutcome::Refused.into(),
                    utilization: Some(1.0),
                };
                say(&writer, from_host::Payload::Response(answer));
            }
        }
    }

    /// One core: a job, then the next from the queue.
    fn work(self: Arc<Host>, life: u64, first: Job) {
        let mut next = Some(first);
        while let Some(job) = next {
            if !self.perform(life, &job) {
                return;
            }
            next = self.with(|state| {
                if state.life != life {
                    return None;
                }
                while let Some(job) = state.queue.pop_front() {
                    if !state.cancelled.remove(&(job.connection, job.operation.attempt_id)) {
                        return Some(job);
                    }
                }
                state.busy.count(state.running, now());
                state.running -= 1;
                None
            });
        }
    }

    /// Whether the process still lives at its end.
    fn perform(&self, life: u64, job: &Job) -> bool {
        if !self.stand_still(life) {
            return false;
        }
        let Some(class) = self.classes.get(job.operation.class as usize) else {
            self.answer(job, AttemptOutcome::Failed);
            return true;
        };
        let began = now();
        let repeat = self.repeated.is_repeat(class, self.facts.zone, job.operation.operation_id, began);
        let (took, fails) = self.with(|state| {
            let warmth = self.warmth(state, began);
            let saved = self.meet(state, job.operation.key, began);
            let took =
                job.operation.work * (1.0 - saved) * state.ailments.slower / (self.facts.speed * warmth);
            (took, state.ailments.fails)
        });
        may::coroutine::sleep(seconds(if repeat || fails { 0.0 } else { took }));
        if !self.stand_still(life) {
            return false;
        }
        if fails {
            self.answer(job, AttemptOutcome::Failed);
            return true;
        }
        let effect = Effect {
            operation: job.operation.operation_id,
            host: self.address.to_string(),
            class: job.operation.class,
            slice: job.operation.slice,
            began: job.came,
            dropped: repeat,
        };
        self.recorder.note(now(), What::Effect(effect));
        self.answer(job, AttemptOutcome::Completed);
        true
    }

    /// Waits while the host hangs or pauses; false if its process has ended meanwhile.
    fn stand_still(&self, life: u64) -> bool {
        loop {
            let at = now();
            let (lives, still) = self.with(|state| {
                let still = state.ailments.hangs || state.ailments.still_until > at;
                (state.life == life, still)
            });
            if !lives || !still {
                return lives;
            }
            may::coroutine::sleep(seconds(STILL_LOOK));
        }
    }

    fn warmth(&self, state: &State, at: f64) -> f64 {
        if !state.cold {
            return 1.0;
        }
        let grown = (at - state.started) / self.facts.warm_after.max(1e-3);
        (self.facts.cold_from + (1.0 - self.facts.cold_from) * grown).clamp(0.01, 1.0)
    }

    /// Share of the work saved because the key was met lately; it is met now.
    fn meet(&self, state: &mut State, key: u64, at: f64) -> f64 {
        if self.facts.kept_gain <= 0.0 {
            return 0.0;
        }
        if state.kept.len() > KEYS_MOST {
            state.kept.retain(|_, met| at - *met <= self.facts.kept_for);
        }
        let met = state.kept.insert(key, at);
        if met.is_some_and(|met| at - met <= self.facts.kept_for) {
            self.facts.kept_gain
        } else {
            0.0
        }
    }

    fn answer(&self, job: &Job, ending: AttemptOutcome) {
        let at = now();
        let (lost, busy) = self.with(|state| {
            state.answered += 1;
            let lost = state.ailments.answers_lost;
            // So many of each run of answers, spread evenly: the same for the same day.
            let is_lost = (state.answered as f64 * lost).fract() < lost;
            (is_lost, state.busy.tell(state.running, self.facts.cores, self.facts.busy_every, at))
        });
        if !lost {
            let answer =
                Response { attempt_id: job.operation.attempt_id, outcome: ending.into(), utilization: busy };
            say(&job.writer, from_host::Payload::Response(answer));
        }
    }
}

/// How busy the cores were since it was last told.
#[derive(Default)]
pub struct BusyMeter {
    since: f64,
    /// Core seconds in use since `told_at`, counted up to `since`.
    time: f64,
    told_at: f64,
    told: Option<f64>,
}

impl BusyMeter {
    pub fn new(at: f64) -> BusyMeter {
        BusyMeter { since: at, told_at: at, ..BusyMeter::default() }
    }

    pub fn count(&mut self, running: usize, at: f64) {
        self.time += (at - self.since).max(0.0) * running as f64;
        self.since = at;
    }

    /// The busy share, refreshed so often.
    pub fn tell(&mut self, running: usize, cores: usize, every: f64, at: f64) -> Option<f64> {
        if every > 0.0 && at - self.told_at >= every {
            self.count(running, at);
            self.told = Some((self.time / (cores as f64 * (at - self.told_at))).clamp(0.0, 1.0));
            (self.time, self.told_at) = (0.0, at);
        }
        self.told
    }
}

fn say(writer: &Mutex<FrameWriter>, word: from_host::Payload) {
    let _ = writer.lock().expect("no holder panics").send(&FromHost { payload: Some(word) });
}
