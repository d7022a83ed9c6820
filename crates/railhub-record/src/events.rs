//! What is written down. Times are seconds on the machine's monotonic clock.
use prost::{Message, Oneof};
use railhub_proto::Delta;

#[derive(Clone, PartialEq, Message)]
pub struct Event {
    #[prost(double, tag = "1")]
    pub at: f64,
    #[prost(oneof = "What", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16")]
    pub what: Option<What>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum What {
    #[prost(message, tag = "2")]
    Limits(Limits),
    #[prost(message, tag = "3")]
    HostUp(HostUp),
    #[prost(message, tag = "4")]
    HostDown(HostDown),
    #[prost(message, tag = "5")]
    Roster(Roster),
    #[prost(message, tag = "6")]
    Stream(Stream),
    #[prost(message, tag = "7")]
    Delta(Received),
    #[prost(message, tag = "8")]
    Answered(Answered),
    #[prost(message, tag = "9")]
    Try(Try),
    #[prost(message, tag = "10")]
    TryEnd(TryEnd),
    #[prost(message, tag = "11")]
    Effect(Effect),
    #[prost(message, tag = "12")]
    Operation(OperationEnd),
    #[prost(message, tag = "13")]
    Trouble(Trouble),
    #[prost(message, tag = "14")]
    StewardLife(StewardLife),
    #[prost(message, tag = "15")]
    Granted(Granted),
    #[prost(message, tag = "16")]
    Stored(Stored),
}

/// What the rules of this run are; first in a record.
#[derive(Clone, PartialEq, Message)]
pub struct Limits {
    #[prost(message, repeated, tag = "1")]
    pub classes: Vec<ClassLimits>,
    #[prost(uint32, tag = "2")]
    pub slices: u32,
    #[prost(bool, tag = "3")]
    pub single_owner: bool,
    #[prost(double, tag = "4")]
    pub lost_for: f64,
    #[prost(double, tag = "5")]
    pub grace: f64,
    #[prost(bool, tag = "6")]
    pub only_draining_binds: bool,
    #[prost(double, tag = "7")]
    pub fall_multiple: f64,
    #[prost(double, tag = "8")]
    pub fall_for: f64,
    #[prost(double, tag = "9")]
    pub cold_from: f64,
    #[prost(double, tag = "10")]
    pub warm_within: f64,
    #[prost(double, tag = "11")]
    pub backlog: f64,
    #[prost(double, tag = "12")]
    pub message_cost: f64,
    #[prost(uint32, tag = "13")]
    pub message_cap: u32,
    #[prost(double, tag = "14")]
    pub messages_span: f64,
    /// When clients begin, and when the last of them does.
    #[prost(double, tag = "15")]
    pub from: f64,
    #[prost(double, tag = "16")]
    pub until: f64,
    #[prost(string, repeated, tag = "17")]
    pub zones: Vec<String>,
    #[prost(uint32, tag = "18")]
    pub proxies: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct ClassLimits {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(double, tag = "2")]
    pub contract_time: f64,
    #[prost(double, tag = "3")]
    pub hard_stop: f64,
    #[prost(double, tag = "4")]
    pub gain: f64,
    #[prost(enumeration = "Repeats", tag = "5")]
    pub repeats: i32,
    /// Seconds a repeat is dropped, where it carries a key.
    #[prost(double, tag = "6")]
    pub key_window: f64,
    #[prost(bool, tag = "7")]
    pub writes: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Repeats {
    Safe = 0,
    IdempotencyKeyGlobal = 1,
    IdempotencyKeyLocal = 2,
    Never = 3,
}

/// A host's process runs.
#[derive(Clone, PartialEq, Message)]
pub struct HostUp {
    #[prost(string, tag = "1")]
    pub host: String,
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    #[prost(double, tag = "3")]
    pub cores: f64,
    #[prost(double, tag = "4")]
    pub speed: f64,
    #[prost(bool, tag = "5")]
    pub cold: bool,
    /// Share of its capacity it has at the start, and seconds until it has all.
    #[prost(double, tag = "6")]
    pub cold_from: f64,
    #[prost(double, tag = "7")]
    pub warm_after: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct HostDown {
    #[prost(string, tag = "1")]
    pub host: String,
}

/// What the steward was just told by the list.
#[derive(Clone, PartialEq, Message)]
pub struct Roster {
    #[prost(bool, tag = "1")]
    pub whole: bool,
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Entry>,
    /// Which of the stewards was told.
    #[prost(uint32, tag = "3")]
    pub steward: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    #[prost(string, tag = "1")]
    pub host: String,
    #[prost(enumeration = "Listed", tag = "2")]
    pub listed: i32,
    #[prost(double, optional, tag = "3")]
    pub started: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Listed {
    Ready = 0,
    Draining = 1,
    Gone = 2,
}

/// A proxy's stream to its steward began or ended, as the proxy saw it.
#[derive(Clone, PartialEq, Message)]
pub struct Stream {
    #[prost(uint32, tag = "1")]
    pub proxy: u32,
    #[prost(bool, tag = "2")]
    pub up: bool,
    /// Which of the stewards.
    #[prost(uint32, tag = "3")]
    pub steward: u32,
}

/// A delta as it reached a proxy.
#[derive(Clone, PartialEq, Message)]
pub struct Received {
    #[prost(uint32, tag = "1")]
    pub proxy: u32,
    #[prost(message, required, tag = "2")]
    pub delta: Delta,
    /// Which of the stewards sent it.
    #[prost(uint32, tag = "3")]
    pub steward: u32,
}

/// A proxy's word on a delta.
#[derive(Clone, PartialEq, Message)]
pub struct Answered {
    #[prost(uint32, tag = "1")]
    pub proxy: u32,
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    #[prost(bool, tag = "3")]
    pub refused: bool,
    #[prost(uint32, tag = "4")]
    pub steward: u32,
    /// Slices that it left out, since it has obeyed a newer epoch for them.
    #[prost(uint32, repeated, tag = "5")]
    pub left_out: Vec<u32>,
}

/// A proxy sent an operation to a host. The second and further tries of one coming of a client are its own.
#[derive(Clone, PartialEq, Message)]
pub struct Try {
    #[prost(uint64, tag = "1")]
    pub operation: u64,
    #[prost(uint32, tag = "2")]
    pub coming: u32,
    #[prost(uint32, tag = "3")]
    pub number: u32,
    #[prost(uint32, tag = "4")]
    pub proxy: u32,
    #[prost(string, tag = "5")]
    pub host: String,
    #[prost(uint32, tag = "6")]
    pub class: u32,
    #[prost(uint32, tag = "7")]
    pub slice: u32,
    #[prost(double, tag = "8")]
    pub work: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct TryEnd {
    #[prost(uint64, tag = "1")]
    pub operation: u64,
    #[prost(uint32, tag = "2")]
    pub coming: u32,
    #[prost(uint32, tag = "3")]
    pub number: u32,
    #[prost(bool, tag = "4")]
    pub completed: bool,
    /// Proof came that it never ran.
    #[prost(bool, tag = "5")]
    pub never_ran: bool,
}

/// A host did the work; `began`: when it took it in.
#[derive(Clone, PartialEq, Message)]
pub struct Effect {
    #[prost(uint64, tag = "1")]
    pub operation: u64,
    #[prost(string, tag = "2")]
    pub host: String,
    #[prost(uint32, tag = "3")]
    pub class: u32,
    #[prost(uint32, tag = "4")]
    pub slice: u32,
    #[prost(double, tag = "5")]
    pub began: f64,
    /// A repeat that was recognised by its key and dropped.
    #[prost(bool, tag = "6")]
    pub dropped: bool,
}

/// An operation as its client saw it.
#[derive(Clone, PartialEq, Message)]
pub struct OperationEnd {
    #[prost(uint64, tag = "1")]
    pub operation: u64,
    #[prost(uint32, tag = "2")]
    pub class: u32,
    #[prost(uint32, tag = "3")]
    pub slice: u32,
    #[prost(uint32, tag = "4")]
    pub zone: u32,
    #[prost(double, tag = "5")]
    pub began: f64,
    #[prost(enumeration = "Outcome", tag = "6")]
    pub outcome: i32,
    #[prost(uint32, tag = "7")]
    pub comings: u32,
    #[prost(uint64, tag = "8")]
    pub key: u64,
    /// Core seconds at speed 1.
    #[prost(double, tag = "9")]
    pub work: f64,
    #[prost(uint32, tag = "10")]
    pub proxy: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    Completed = 0,
    Late = 1,
    Refused = 2,
    Failed = 3,
    GaveUp = 4,
}

/// A trouble of the script begins or ends.
#[derive(Clone, PartialEq, Message)]
pub struct Trouble {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(bool, tag = "2")]
    pub on: bool,
    #[prost(string, tag = "3")]
    pub note: String,
    /// How many times slower the steward's channel is from now on; 0: this trouble does not touch it.
    #[prost(double, tag = "4")]
    pub channel_slower: f64,
}

/// A steward's process was started, or ended.
#[derive(Clone, PartialEq, Message)]
pub struct StewardLife {
    #[prost(bool, tag = "1")]
    pub up: bool,
    #[prost(uint32, tag = "2")]
    pub steward: u32,
    /// It lives and stands still; when it goes on, it is up again.
    #[prost(bool, tag = "3")]
    pub still: bool,
    /// Its clock is set back while it runs: its leases cannot end in time, and epochs alone keep it from harm.
    #[prost(bool, tag = "4")]
    pub set_back: bool,
}

/// The store granted a slice to a steward's process that did not hold it before.
#[derive(Clone, PartialEq, Message)]
pub struct Granted {
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    #[prost(uint64, tag = "3")]
    pub process: u64,
}

/// A table came to the store under an epoch, and was written or not.
#[derive(Clone, PartialEq, Message)]
pub struct Stored {
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    #[prost(bool, tag = "3")]
    pub written: bool,
}
