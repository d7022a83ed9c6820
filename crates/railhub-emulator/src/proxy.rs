//! A plain proxy: it looks up the table, checks the level, picks a line that is not shut out, and sends.
use crate::channel::Channel;
use crate::client::Drawn;
use crate::held::{HeldOfAll, Pick};
use crate::lane::{CallEnd, Lane};
use crate::links::Links;
use crate::sums::Totals;
use crate::ClassFacts;
use may::sync::Mutex;
use railhub_net::{connect, now, seconds, spawn, split_framed, FrameReader, FrameWriter, Task};
use railhub_proto::{
    from_controller, from_proxy, Ack, Delta, FromController, FromProxy, Nack, Operation, RetryCondition,
    Subscribe, MAX_FROM_CONTROLLER_BYTES,
};
use railhub_record::{Answered, Received, Recorder, Stream, Try, TryEnd, What};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::Arc;

/// Seconds between looks while an operation waits for a table, and while no steward is known.
const TABLE_LOOK: f64 = 0.005;
const STEWARD_LOOK: f64 = 0.02;
/// Seconds a stream must have stood for the next dial to be as soon as usual, and doublings of the wait at the most.
const STOOD: f64 = 0.5;
const BACK_OFF_MOST: u32 = 3;
/// Share of the contract time that must be left for a further try.
const LITTLE_TIME: f64 = 0.1;

/// What a proxy is. Times in seconds.
#[derive(Clone, Debug)]
pub struct ProxyFacts {
    pub number: u32,
    pub zone: u32,
    pub pick: Pick,
    /// An operation that finds no host waits so long at the most.
    pub hold: f64,
    /// Before a try that may be followed is given up: times the contract time.
    pub first_wait: f64,
    pub connect_within: f64,
    pub report_every: f64,
    /// Load reports arrive so late.
    pub report_late: f64,
    /// Longest wait before it dials its steward again.
    pub redial: f64,
    pub seed: u64,
}

/// Misbehaviour that the checker must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    LosesLines,
    RepeatsBlindly,
    IgnoresLeaving,
    FloodsColdHosts,
    GetsTooManyMessages,
    /// Where stewards share: it obeys whatever comes.
    ObeysOldEpochs,
}

/// What the stand-ins of one fleet share.
#[derive(Clone)]
pub struct Surroundings {
    pub classes: Arc<Vec<ClassFacts>>,
    /// Where each steward is now, if it is there.
    pub stewards: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    pub zones: Arc<Mutex<BTreeMap<SocketAddr, u32>>>,
    pub links: Links,
    pub channel: Channel,
    pub recorder: Recorder,
    /// Seconds that sums are later than usual, in thousandths.
    pub later: Arc<AtomicI64>,
    /// A host that has just started, for sabotage.
    pub newest: Arc<Mutex<Option<SocketAddr>>>,
}

#[derive(Clone, Copy, Debug)]
pub struct Coming {
    pub drawn: Drawn,
    pub coming: u32,
    pub wait: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyEnd {
    Completed,
    /// It never ran.
    Refused,
    Failed,
}

pub struct Proxy {
    pub facts: ProxyFacts,
    around: Surroundings,
    held: Mutex<HeldOfAll>,
    lanes: Mutex<BTreeMap<SocketAddr, Arc<Lane>>>,
    totals: Mutex<Totals>,
    chance: Mutex<ChaCha8Rng>,
    /// To each steward that it reaches.
    streams: Mutex<BTreeMap<usize, Arc<Mutex<FrameWriter>>>>,
    refuse_next: AtomicBool,
    sabotage: Option<Sabotage>,
    left: Mutex<BTreeSet<SocketAddr>>,
}

impl Proxy {
    pub fn new(
        facts: ProxyFacts,
        around: Surroundings,
        standing: BTreeMap<u32, Vec<(SocketAddr, f64)>>,
        sabotage: Option<Sabotage>,
    ) -> Arc<Proxy> {
        let chance = ChaCha8Rng::seed_from_u64(facts.seed);
        let stewards = around.stewards.lock().expect("no holder panics").len();
        Arc::new(Proxy {
            around,
            held: Mutex::new(HeldOfAll::standing(standing, stewards)),
            lanes: Mutex::new(BTreeMap::new()),
            totals: Mutex::new(Totals::new(now())),
            chance: Mutex::new(chance),
            streams: Mutex::default(),
            refuse_next: AtomicBool::new(false),
            sabotage,
            left: Mutex::new(BTreeSet::new()),
            facts,
        })
    }

    /// The streams to its stewards break; it dials again.
    pub fn break_stream(&self) {
        let streams = std::mem::take(&mut *self.streams.lock().expect("no holder panics"));
        streams.into_values().for_each(|writer| writer.lock().expect("no holder panics").close());
    }

    /// The next delta is refused, whatever it says.
    pub fn refuse_next(&self) {
        self.refuse_next.store(true, Ordering::Relaxed);
    }

    /// Connects to each steward and stays connected; sends sums to all of them.
    pub fn follow_stewards(self: &Arc<Proxy>) -> Vec<Task> {
        let stewards = self.around.stewards.lock().expect("no holder panics").len();
        let follow = |steward| {
            let following = self.clone();
            Task::spawn(move || following.keep_stream(steward))
        };
        let mut tasks: Vec<Task> = (0..stewards).map(follow).collect();
        let reporting = self.clone();
        tasks.push(Task::spawn(move || reporting.keep_reporting()));
        tasks
    }

    /// Ends its connections to hosts.
    pub fn close(&self) {
        self.lanes.lock().expect("no holder panics").values().for_each(|lane| lane.close());
    }

    fn random(&self) -> f64 {
        self.chance.lock().expect("no holder panics").random()
    }

    fn keep_stream(self: Arc<Proxy>, steward: usize) {
        let process = now().to_bits() ^ u64::from(self.facts.number);
        let mut failed = 0u32;
        loop {
            let address = self.around.stewards.lock().expect("no holder panics")[steward];
            let Some(address) = address else {
                may::coroutine::sleep(seconds(STEWARD_LOOK));
                continue;
            };
            let dialled = now();
            if let Ok(stream) = connect(address, seconds(1.0)) {
                if let Ok((reader, writer)) = split_framed(stream, MAX_FROM_CONTROLLER_BYTES) {
                    self.one_stream(steward, reader, writer, process);
                }
            }
            // One that ends at once is not there yet, or turns us away: it is dialled ever less often.
            failed = if now() - dialled < STOOD { (failed + 1).min(BACK_OFF_MOST) } else { 0 };
            let pause = self.random() * self.facts.redial * f64::from(1 << failed.saturating_sub(1));
            may::coroutine::sleep(seconds(pause));
        }
    }

    fn one_stream(&self, steward: usize, mut reader: FrameReader, mut writer: FrameWriter, process: u64) {
        let (incarnation, version) = {
            let held = self.held.lock().expect("no holder panics");
            let held = held.of(steward);
            (held.incarnation, if held.has_gap { 0 } else { held.version })
        };
        let (proxy, zone) = (self.facts.number, self.facts.zone);
        let subscribe = Subscribe { proxy, zone, process, incarnation, version };
        let subscribe = FromProxy { payload: Some(from_proxy::Payload::Subscribe(subscribe)) };
        if writer.send(&subscribe).is_err() {
            return;
        }
        let writer = Arc::new(Mutex::new(writer));
        self.streams.lock().expect("no holder panics").insert(steward, writer.clone());
        let stream = |up| What::Stream(Stream { proxy, up, steward: steward as u32 });
        self.around.recorder.note(now(), stream(true));
        while let Ok(FromController { payload: Some(word) }) = reader.receive() {
            match word {
                from_controller::Payload::Delta(delta) => {
                    if self.receive(steward, delta, &writer).is_err() {
                        break;
                    }
                }
                from_controller::Payload::Goodbye(goodbye) => {
                    tracing::debug!(proxy, reason = goodbye.reason, "the steward ends the stream");
                    break;
                }
            }
        }
        self.around.recorder.note(now(), stream(false));
        self.streams.lock().expect("no holder panics").remove(&steward);
        writer.lock().expect("no holder panics").close();
    }

    fn receive(&self, steward: usize, delta: Delta, writer: &Mutex<FrameWriter>) -> std::io::Result<()> {
        self.around.channel.pass(delta.cost());
        let delta = self.tamper(steward, delta);
        let (proxy, nonce) = (self.facts.number, delta.nonce);
        let recorder = &self.around.recorder;
        let received = Received { proxy, delta: delta.clone(), steward: steward as u32 };
        recorder.note(now(), What::Delta(received));
        let taken = if self.refuse_next.swap(false, Ordering::Relaxed) {
            Err("told to refuse".to_owned())
        } else {
            let fenced = self.sabotage != Some(Sabotage::ObeysOldEpochs);
            self.held.lock().expect("no holder panics").take_in(steward, &delta, fenced)
        };
        let (refused, left_out) = (taken.is_err(), taken.clone().unwrap_or_default());
        let answered = Answered { proxy, nonce, refused, steward: steward as u32, left_out };
        recorder.note(now(), What::Answered(answered));
        let word = match taken {
            Ok(_) => from_proxy::Payload::Ack(Ack { nonce }),
            Err(reason) => {
                self.held.lock().expect("no holder panics").of_mut(steward).has_gap = true;
                from_proxy::Payload::Nack(Nack { nonce, reason })
            }
        };
        writer.lock().expect("no holder panics").send(&FromProxy { payload: Some(word) })
    }

    /// What a broken link or a broken proxy makes of a delta; nothing on an honest day.
    fn tamper(&self, steward: usize, mut delta: Delta) -> Delta {
        match self.sabotage {
            Some(Sabotage::LosesLines) => delta.lines.retain(|line| line.slice % 8 != 3),
            Some(Sabotage::GetsTooManyMessages) => {
                for _ in 0..6 {
                    let (proxy, nonce) = (self.facts.number, delta.nonce);
                    let again = Delta { lines: Vec::new(), cleared: Vec::new(), ..delta.clone() };
                    let delta = Delta { nonce, reset: false, ..again };
                    let again = Received { proxy, delta, steward: steward as u32 };
                    self.around.recorder.note(now(), What::Delta(again));
                }
            }
            Some(Sabotage::IgnoresLeaving) => {
                let mut left = self.left.lock().expect("no holder panics");
                let out = delta.exclusions.iter().filter(|word| word.excluded);
                left.extend(out.filter_map(|word| word.host.parse::<SocketAddr>().ok()));
            }
            _ => {}
        }
        delta
    }

    fn keep_reporting(self: Arc<Proxy>) {
        may::coroutine::sleep(seconds(self.random() * self.facts.report_every));
        loop {
            may::coroutine::sleep(seconds(self.facts.report_every));
            let sums = self.totals.lock().expect("no holder panics").take(now());
            let extra = self.around.later.load(Ordering::Relaxed) as f64 / 1000.0;
            let proxy = self.clone();
            spawn(move || {
                may::coroutine::sleep(seconds(proxy.facts.report_late + extra));
                let streams = proxy.streams.lock().expect("no holder panics").clone();
                let sums = FromProxy { payload: Some(from_proxy::Payload::LoadReport(sums)) };
                for writer in streams.into_values() {
                    let _ = writer.lock().expect("no holder panics").send(&sums);
                }
            });
        }
    }

    /// One coming of an operation, from the client.
    pub fn handle(&self, coming: Coming) -> ProxyEnd {
        let Coming { drawn, wait, .. } = coming;
        let until = now() + wait;
        self.totals.lock().expect("no holder panics").came(drawn.slice, drawn.class);
        let (share, again) = self.held.lock().expect("no holder panics").level(drawn.slice, drawn.class);
        if share < 1.0 && self.random() >= share {
            return ProxyEnd::Refused;
        }
        let class = &self.around.classes[drawn.class as usize];
        let mut tried = Vec::new();
        let mut end = ProxyEnd::Refused;
        while tried.len() < 2 {
            let Some(host) = self.pick(&drawn, &tried, until) else { return end };
            tried.push(host);
            let left = until - now();
            if left <= 0.0 || tried.len() > 1 && left < LITTLE_TIME * class.contract_time {
                return end;
            }
            let may_follow =
                tried.len() < 2 && again == RetryCondition::AfterFailure && self.has_other(&drawn, &tried);
            let wait = if may_follow { left.min(self.facts.first_wait * class.contract_time) } else { left };
            let call = self.call(&coming, host, tried.len() as u32, wait);
            match call {
                CallEnd::Completed(_) if self.repeats_blindly(&drawn) => {}
                CallEnd::Completed(_) => return ProxyEnd::Completed,
                _ => {}
            }
            if !call.never_ran() {
                end = ProxyEnd::Failed;
            }
            let goes_on = match again {
                RetryCondition::Never => false,
                RetryCondition::IfNotExecuted => call.never_ran(),
                RetryCondition::AfterFailure => true,
            };
            if !goes_on && !self.repeats_blindly(&drawn) {
                return end;
            }
        }
        end
    }

    fn repeats_blindly(&self, drawn: &Drawn) -> bool {
        self.sabotage == Some(Sabotage::RepeatsBlindly) && drawn.operation.is_multiple_of(10)
    }

    fn has_other(&self, drawn: &Drawn, tried: &[SocketAddr]) -> bool {
        let held = self.held.lock().expect("no holder panics");
        let mut chance = ChaCha8Rng::seed_from_u64(0);
        held.pick(drawn.slice, tried, Pick::Weighted, &mut chance, |_| 0).is_some()
    }

    /// A host, waited for a little if there is none; for a second try there is no waiting.
    fn pick(&self, drawn: &Drawn, tried: &[SocketAddr], until: f64) -> Option<SocketAddr> {
        if let Some(host) = self.wrong_host(drawn).filter(|host| !tried.contains(host)) {
            return Some(host);
        }
        let give_up = until.min(now() + self.facts.hold);
        loop {
            let found = {
                let held = self.held.lock().expect("no holder panics");
                let lanes = self.lanes.lock().expect("no holder panics");
                let work = |host| lanes.get(&host).map_or(0, |lane| lane.out());
                let mut chance = self.chance.lock().expect("no holder panics");
                held.pick(drawn.slice, tried, self.facts.pick, &mut *chance, work)
            };
            if found.is_some() || !tried.is_empty() || now() >= give_up {
                return found;
            }
            may::coroutine::sleep(seconds(TABLE_LOOK));
        }
    }

    /// Where a sabotaged proxy sends instead.
    fn wrong_host(&self, drawn: &Drawn) -> Option<SocketAddr> {
        match self.sabotage? {
            Sabotage::FloodsColdHosts => *self.around.newest.lock().expect("no holder panics"),
            Sabotage::IgnoresLeaving => {
                let left = self.left.lock().expect("no holder panics");
                left.iter().nth(drawn.operation as usize % left.len().max(1)).copied()
            }
            _ => None,
        }
    }

    fn call(&self, coming: &Coming, host: SocketAddr, number: u32, wait: f64) -> CallEnd {
        let drawn = &coming.drawn;
        let zone = self.around.zones.lock().expect("no holder panics").get(&host).copied();
        let (delay, lost) = self.around.links.between(self.facts.zone, zone.unwrap_or(self.facts.zone));
        let began = now();
        if delay > 0.0 {
            may::coroutine::sleep(seconds(delay.min(wait)));
        }
        let end = if lost > 0.0 && self.random() < lost {
            may::coroutine::sleep(seconds(wait - (now() - began)));
            CallEnd::TimedOut
        } else {
            self.send(coming, host, number, wait - (now() - began))
        };
        if delay > 0.0 && matches!(end, CallEnd::Completed(_)) {
            may::coroutine::sleep(seconds(delay));
        }
        let late = now() - began > wait;
        let end = if late && matches!(end, CallEnd::Completed(_)) { CallEnd::TimedOut } else { end };
        let (time, busy) = match end {
            CallEnd::Completed(busy) => (Some(now() - began), busy),
            _ => (None, None),
        };
        self.totals.lock().expect("no holder panics").tried(host, time, busy);
        let (operation, coming) = (drawn.operation, coming.coming);
        let completed = time.is_some();
        let ended = TryEnd { operation, coming, number, completed, never_ran: end.never_ran() };
        self.around.recorder.note(now(), What::TryEnd(ended));
        end
    }

    fn send(&self, coming: &Coming, host: SocketAddr, number: u32, wait: f64) -> CallEnd {
        let drawn = coming.drawn;
        let lane = {
            let mut lanes = self.lanes.lock().expect("no holder panics");
            let (proxy, within) = (self.facts.number, self.facts.connect_within);
            lanes.entry(host).or_insert_with(|| Arc::new(Lane::new(host, proxy, within))).clone()
        };
        let Drawn { operation, class, key, slice, work, .. } = drawn;
        let message = Operation { attempt_id: 0, operation_id: operation, key, class, slice, work };
        lane.call(message, wait, || {
            let (coming, proxy, host) = (coming.coming, self.facts.number, host.to_string());
            let tried = Try { operation, coming, number, proxy, host, class, slice, work };
            self.around.recorder.note(now(), What::Try(tried));
        })
    }
}
