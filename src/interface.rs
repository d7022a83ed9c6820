//! What passes between a steward and the program around it: ids, the terms it starts with, what a
//! round brings, and the writer that takes its decisions. Times are seconds with fractions.
use std::fmt;
use std::net::SocketAddr;

pub type Seconds = f64;

/// Bytes that a host's name may have: ids of instances and addresses with ports fit well.
const NAME_LIMIT: usize = 54;
/// Start and factor of the FNV-1a hash, 64 bits.
const FNV_START: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_FACTOR: u64 = 0x0000_0100_0000_01b3;

/// Names a host and tells nothing else of it. It holds its name, so that no table of names outlives the hosts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId {
    /// Filled up with zeros, so that the order is that of the names.
    bytes: [u8; NAME_LIMIT],
    length: u8,
    hash: u64,
}

impl HostId {
    /// `None`: the name is empty, too long or holds what a line of a log or a wire cannot.
    pub fn new(name: &str) -> Option<HostId> {
        let fits = !name.is_empty() && name.len() <= NAME_LIMIT && name.bytes().all(|b| b.is_ascii_graphic());
        fits.then(|| {
            let mut bytes = [0; NAME_LIMIT];
            bytes[..name.len()].copy_from_slice(name.as_bytes());
            let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_FACTOR);
            HostId { bytes, length: name.len() as u8, hash: name.bytes().fold(FNV_START, mix) }
        })
    }

    pub fn name(&self) -> &str {
        std::str::from_utf8(&self.bytes[..usize::from(self.length)]).unwrap_or_default()
    }

    /// Made of the name alone: the same on every steward and after every restart.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Where hosts are named by the address that they listen at.
    pub fn address(&self) -> Option<SocketAddr> {
        self.name().parse().ok()
    }
}

impl From<SocketAddr> for HostId {
    fn from(address: SocketAddr) -> HostId {
        HostId::new(&address.to_string()).expect("the longest address is shorter than the limit")
    }
}

impl fmt::Display for HostId {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(self.name())
    }
}

impl fmt::Debug for HostId {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(self.name())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u16);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SliceId(pub u16);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u8);
/// Hosts of one kind are alike; which kind tells nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub u16);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BarrierId(pub u16);

/// Whether an operation may run again, and where a repeat is recognised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Safe,
    /// Every host drops a repeat for so long.
    IdempotencyKeyGlobal(Seconds),
    /// Only the hosts of one zone or cell drop a repeat.
    IdempotencyKeyLocal,
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassConfig {
    pub contract_time: Seconds,
    pub gain: f64,
    pub repeat: Idempotency,
}

/// What a steward knows when it starts.
#[derive(Clone, Debug, Default)]
pub struct ControllerConfig {
    pub classes: Vec<ClassConfig>,
    /// 0: operations are not cut into slices; the steward lays out tables of its own.
    pub slices: u16,
    /// A slice's table has one line, its owner.
    pub single_owner: bool,
    /// There: how long a proxy that lost its stream goes on writing to the owner it knows, and a write lasts at most.
    pub write_lease: Seconds,
    pub write_life: Seconds,
    pub may_probe: bool,
    /// A host that the list merely drops may stay in tables.
    pub dropped_may_stay: bool,
    pub levels_by_share: bool,
    /// Least share of its capacity a host starts with, and the longest it takes to be warm.
    pub cold_from: f64,
    pub warm_within: Seconds,
    pub fall_multiple: f64,
    /// Lines that may wait in the channel, and lines a message costs on top of its own.
    pub backlog: f64,
    pub message_cost: f64,
    /// Messages to one proxy within a span; 0: no such limit.
    pub message_cap: u32,
    pub messages_span: Seconds,
    /// Before a try that may be followed is given up: times the contract time.
    pub first_wait: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    pub host: HostId,
    pub phase: Phase,
    /// When it last started; `None`: long ago.
    pub started: Option<Seconds>,
    pub weight: f64,
    pub kind: KindId,
}

#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The whole list, so that what it lacks is gone; else only what changed.
    pub whole: bool,
    pub entries: Vec<EndpointEntry>,
}

#[derive(Clone, Copy, Debug)]
pub struct ProxyStreamEvent {
    pub proxy: ProxyId,
    pub up: bool,
    /// Its first stream to this steward; else it still holds what it was ordered before.
    pub first: bool,
}

#[derive(Clone, Debug)]
pub struct SliceAssignment {
    pub slice: SliceId,
    pub given: bool,
    pub lines: Vec<(HostId, f64)>,
}

/// What one that gives a slice up knows of it and its heir cannot: the heir hears the list and all sums itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SliceHandoff {
    /// Operations a second.
    pub rate: f64,
    /// Seconds until it may move again.
    pub rests: Seconds,
    /// The host it was taken from and goes back to.
    pub home: Option<HostId>,
}

/// What the proxies of a zone met at a host.
#[derive(Clone, Debug)]
pub struct HostLoadReport {
    pub zone: ZoneId,
    pub host: HostId,
    pub tries: f64,
    pub failed: f64,
    /// Mean time of the good ones; 0 if there were none.
    pub mean_time: Seconds,
    pub span: Seconds,
    /// Share of its cores that the host last reported busy.
    pub busy: Option<f64>,
}

/// Operations of a class that came for a slice.
#[derive(Clone, Copy, Debug)]
pub struct SliceLoadReport {
    pub slice: SliceId,
    pub class: ClassId,
    pub operations: f64,
    pub span: Seconds,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    Answered,
    Rejected,
    Failed,
    Unreachable,
}

#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    pub host: HostId,
    pub end: HealthCheckOutcome,
}

/// A proxy has taken in the delta that bore the mark, and all before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BarrierAck {
    pub proxy: ProxyId,
    pub mark: BarrierId,
}

/// All that came in since the last round.
#[derive(Clone, Debug, Default)]
pub struct EventBatch {
    pub now: Seconds,
    pub lists: Vec<EndpointList>,
    pub streams: Vec<ProxyStreamEvent>,
    pub charges: Vec<SliceAssignment>,
    pub tries: Vec<HostLoadReport>,
    pub demand: Vec<SliceLoadReport>,
    pub probes: Vec<HealthCheckResult>,
    pub confirmed: Vec<BarrierAck>,
    pub timers: Vec<TimerId>,
    /// When the oldest orders were given that the channel has not taken yet: a proxy that connects may get them too.
    pub pending_since: Option<Seconds>,
}

/// When proxies try an operation again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    Never,
    IfNotExecuted,
    AfterFailure,
}

/// Takes a steward's decisions, in order, as they are made.
pub trait CommandSink {
    /// Sets one line of a slice's table; weight 0 removes it.
    fn set_line(&mut self, slice: SliceId, host: HostId, weight: f64);
    /// Puts a proxy on a table, where there are no slices.
    fn hand_table(&mut self, table: SliceId, proxy: ProxyId);
    /// Sets the share of a class let in by all proxies, and its way of trying again.
    fn set_level(&mut self, class: ClassId, share: f64, second_try: RetryPolicy);
    /// Stops all proxies from sending to a host, whatever tables say, or lets them again.
    fn shut_out(&mut self, host: HostId, out: bool);
    /// Asks every joined proxy to confirm this delta, also those it brings no line.
    fn mark(&mut self, mark: BarrierId);
    fn probe(&mut self, host: HostId);
    fn wake(&mut self, after: Seconds, timer: TimerId);
    fn note(&mut self, text: &str);
}
