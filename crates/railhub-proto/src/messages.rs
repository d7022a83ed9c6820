//! The messages. Times are seconds with fractions on one monotonic clock of the machine; hosts are written as
//! address:port; slices, zones and classes by number.
use prost::{Message, Oneof};

/// Bytes a proxy's message to a steward may have: sums of some thousands of hosts and slices.
pub const FROM_PROXY_LIMIT: usize = 256 << 10;
/// Bytes a steward's message may have: the whole tables of some ten thousand slices.
pub const FROM_STEWARD_LIMIT: usize = 4 << 20;
/// Bytes a message between a proxy and a host may have: an operation or its answer.
pub const OPERATION_LIMIT: usize = 4 << 10;

#[derive(Clone, PartialEq, Message)]
pub struct FromProxy {
    #[prost(oneof = "from_proxy::Payload", tags = "1, 2, 3, 4")]
    pub payload: Option<from_proxy::Payload>,
}

pub mod from_proxy {
    use super::*;
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Payload {
        #[prost(message, tag = "1")]
        Subscribe(Subscribe),
        #[prost(message, tag = "2")]
        Ack(Ack),
        #[prost(message, tag = "3")]
        Refusal(Refusal),
        #[prost(message, tag = "4")]
        Sums(Sums),
    }
}

/// Opens a stream: who the proxy is, and what it holds.
#[derive(Clone, PartialEq, Message)]
pub struct Subscribe {
    #[prost(uint32, tag = "1")]
    pub proxy: u32,
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    /// Tells one running proxy from another that claims the same number.
    #[prost(uint64, tag = "3")]
    pub process: u64,
    /// The steward process whose version it holds, and that version; 0: none.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    #[prost(uint64, tag = "5")]
    pub version: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Ack {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
}

/// The proxy keeps its last good tables.
#[derive(Clone, PartialEq, Message)]
pub struct Refusal {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// What a proxy met since its last sums.
#[derive(Clone, PartialEq, Message)]
pub struct Sums {
    #[prost(double, tag = "1")]
    pub span: f64,
    #[prost(message, repeated, tag = "2")]
    pub hosts: Vec<HostSum>,
    #[prost(message, repeated, tag = "3")]
    pub demand: Vec<SliceSum>,
}

#[derive(Clone, PartialEq, Message)]
pub struct HostSum {
    #[prost(string, tag = "1")]
    pub host: String,
    #[prost(uint32, tag = "2")]
    pub tries: u32,
    #[prost(uint32, tag = "3")]
    pub failed: u32,
    /// Total time of the good ones, seconds.
    #[prost(double, tag = "4")]
    pub good_time: f64,
    /// The newest load report among the answers: share of its cores busy.
    #[prost(double, optional, tag = "5")]
    pub busy: Option<f64>,
}

#[derive(Clone, PartialEq, Message)]
pub struct SliceSum {
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    #[prost(uint32, tag = "2")]
    pub class: u32,
    #[prost(uint32, tag = "3")]
    pub operations: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct FromSteward {
    #[prost(oneof = "from_steward::Payload", tags = "1, 2")]
    pub payload: Option<from_steward::Payload>,
}

pub mod from_steward {
    use super::*;
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Payload {
        #[prost(message, tag = "1")]
        Delta(Delta),
        #[prost(message, tag = "2")]
        Goodbye(Goodbye),
    }
}

/// The last message of a stream that the steward ends.
#[derive(Clone, PartialEq, Message)]
pub struct Goodbye {
    #[prost(string, tag = "1")]
    pub reason: String,
}

/// One change of what a proxy holds, taken in whole or not at all: first what is reset or cleared, then lines,
/// levels and shut-outs.
#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// When the steward ordered the oldest part of it.
    #[prost(double, tag = "4")]
    pub ordered_at: f64,
    /// Levels and shut-outs held so far are forgotten.
    #[prost(bool, tag = "5")]
    pub reset: bool,
    /// Tables of which all lines go before those below are set.
    #[prost(uint32, repeated, tag = "6")]
    pub cleared: Vec<u32>,
    #[prost(message, repeated, tag = "7")]
    pub lines: Vec<TableLine>,
    #[prost(message, repeated, tag = "8")]
    pub levels: Vec<Level>,
    #[prost(message, repeated, tag = "9")]
    pub shut: Vec<Shut>,
    /// Where there are no slices: the table the proxy is put on.
    #[prost(uint32, optional, tag = "10")]
    pub handed: Option<u32>,
    /// Where stewards share the slices: under which epoch each slice named above is ordered. A proxy that has obeyed
    /// a newer one for a slice leaves out what this says of it.
    #[prost(message, repeated, tag = "11")]
    pub epochs: Vec<SliceEpoch>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct SliceEpoch {
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

impl Delta {
    /// Lines it costs, without those of the message itself.
    pub fn cost(&self) -> usize {
        self.cleared.len() + self.lines.len() + self.levels.len() + self.shut.len()
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct TableLine {
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    #[prost(string, tag = "2")]
    pub host: String,
    /// 0 removes the line.
    #[prost(double, tag = "3")]
    pub weight: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Level {
    #[prost(uint32, tag = "1")]
    pub class: u32,
    /// Share let in, 0 to 1.
    #[prost(double, tag = "2")]
    pub share: f64,
    #[prost(enumeration = "Again", tag = "3")]
    pub again: i32,
}

/// When a proxy tries an operation at another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Again {
    Never = 0,
    IfNotExecuted = 1,
    AfterFailure = 2,
}

#[derive(Clone, PartialEq, Message)]
pub struct Shut {
    #[prost(string, tag = "1")]
    pub host: String,
    #[prost(bool, tag = "2")]
    pub out: bool,
}

/// From a proxy to a host.
#[derive(Clone, PartialEq, Message)]
pub struct ToHost {
    #[prost(oneof = "to_host::Payload", tags = "1, 2, 3")]
    pub payload: Option<to_host::Payload>,
}

pub mod to_host {
    use super::*;
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Payload {
        #[prost(message, tag = "1")]
        Hail(Hail),
        #[prost(message, tag = "2")]
        Operation(Operation),
        #[prost(message, tag = "3")]
        Cancel(Cancel),
    }
}

/// Opens a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Hail {
    #[prost(uint32, tag = "1")]
    pub proxy: u32,
}

/// A try that is no longer waited for: if it has not begun, it is dropped.
#[derive(Clone, PartialEq, Message)]
pub struct Cancel {
    #[prost(uint64, tag = "1")]
    pub try_id: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Operation {
    /// Of this try on this connection.
    #[prost(uint64, tag = "6")]
    pub try_id: u64,
    /// The same however often it is tried.
    #[prost(uint64, tag = "1")]
    pub operation: u64,
    #[prost(uint64, tag = "2")]
    pub key: u64,
    #[prost(uint32, tag = "3")]
    pub class: u32,
    #[prost(uint32, tag = "4")]
    pub slice: u32,
    /// Core seconds it takes at speed 1: in a stand-in fleet the work is told, not done.
    #[prost(double, tag = "5")]
    pub work: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct FromHost {
    #[prost(oneof = "from_host::Payload", tags = "1, 2")]
    pub payload: Option<from_host::Payload>,
}

pub mod from_host {
    use super::*;
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Payload {
        #[prost(message, tag = "1")]
        Hello(HostHello),
        #[prost(message, tag = "2")]
        Answer(Answer),
    }
}

/// The host takes operations on this connection; before it, none may be sent.
#[derive(Clone, PartialEq, Message)]
pub struct HostHello {
    #[prost(double, tag = "1")]
    pub started: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    #[prost(uint64, tag = "1")]
    pub try_id: u64,
    #[prost(enumeration = "Ending", tag = "2")]
    pub ending: i32,
    #[prost(double, optional, tag = "3")]
    pub busy: Option<f64>,
}

/// How a try ended at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Ending {
    Completed = 0,
    /// Turned away: it never ran.
    Refused = 1,
    Failed = 2,
}
