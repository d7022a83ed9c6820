//! The relay's lines: news that a subscription brings, and answers to calls.
use crate::InvalidEntry;
use railhub::{BarrierAck, BarrierId, HostId, ProxyId, SliceId};
use serde::de::DeserializeOwned;
use serde::Deserialize;

/// Bytes of a line: a call is far shorter, and a piece of news shorter still.
pub const MAX_LINE_BYTES: usize = 64 << 10;

/// One subscription of this process: by the file that named its relay, then in the order in which they were asked
/// for. A follower of an older file may ask later and is older all the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubscriptionId {
    pub file: u64,
    pub count: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayEvent {
    /// The subscription stands; what the relay holds follows.
    Subscribed,
    Heartbeat,
    ProxyJoined {
        proxy: ProxyId,
        first: bool,
    },
    ProxyLeft(ProxyId),
    BarrierAcked(BarrierAck),
    SliceAssigned {
        slice: SliceId,
        on: bool,
    },
    StoredEntry {
        slice: SliceId,
        host: HostId,
        weight: f64,
    },
}

/// How the relay ended a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResponse {
    Accepted(usize),
    /// Calls are not let in yet.
    Rejected,
    /// It is no call to the relay: said again it would end alike.
    Malformed,
}

#[derive(Deserialize)]
struct Head {
    method: Option<String>,
    #[serde(default)]
    result: Option<bool>,
}

#[derive(Deserialize)]
struct Line<T> {
    params: T,
}

#[derive(Deserialize)]
struct ProxyJoined {
    proxy: u16,
    fresh: bool,
}

#[derive(Deserialize)]
struct ProxyLeft {
    proxy: u16,
}

#[derive(Deserialize)]
struct BarrierAcked {
    proxy: u16,
    mark: u16,
}

#[derive(Deserialize)]
struct SliceAssigned {
    slice: u16,
    on: bool,
}

#[derive(Deserialize)]
struct StoredEntry {
    slice: u16,
    server: String,
    weight: f64,
}

fn params<T: DeserializeOwned>(line: &[u8]) -> Result<T, InvalidEntry> {
    serde_json::from_slice::<Line<T>>(line).map(|line| line.params).map_err(|_| InvalidEntry::Fields)
}

pub fn read(line: &[u8]) -> Result<RelayEvent, InvalidEntry> {
    let head: Head = serde_json::from_slice(line).map_err(|_| InvalidEntry::Unreadable)?;
    let Some(method) = head.method else {
        return if head.result == Some(true) { Ok(RelayEvent::Subscribed) } else { Err(InvalidEntry::Kind) };
    };
    Ok(match method.as_str() {
        "ping" => RelayEvent::Heartbeat,
        "joined" => {
            let joined: ProxyJoined = params(line)?;
            RelayEvent::ProxyJoined { proxy: ProxyId(joined.proxy), first: joined.fresh }
        }
        "left" => RelayEvent::ProxyLeft(ProxyId(params::<ProxyLeft>(line)?.proxy)),
        "applied" => {
            let applied: BarrierAcked = params(line)?;
            RelayEvent::BarrierAcked(BarrierAck {
                proxy: ProxyId(applied.proxy),
                barrier: BarrierId(applied.mark),
            })
        }
        "given" => {
            let given: SliceAssigned = params(line)?;
            RelayEvent::SliceAssigned { slice: SliceId(given.slice), on: given.on }
        }
        "held" => {
            let held: StoredEntry = params(line)?;
            let host = HostId::new(&held.server).ok_or(InvalidEntry::Unknown)?;
            if !(held.weight.is_finite() && held.weight >= 0.0) {
                return Err(InvalidEntry::Range);
            }
            RelayEvent::StoredEntry { slice: SliceId(held.slice), host, weight: held.weight }
        }
        _ => return Err(InvalidEntry::Kind),
    })
}

#[derive(Deserialize)]
struct Ended {
    id: u64,
    #[serde(default)]
    result: Option<Accepted>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct Accepted {
    taken: usize,
}

/// The answer to call `id` of so many orders; whatever else a line says, the call's outcome is not known.
pub fn answer(line: &[u8], id: u64, count: usize) -> Result<CallResponse, InvalidEntry> {
    let ended: Ended = serde_json::from_slice(line).map_err(|_| InvalidEntry::Fields)?;
    if ended.id != id {
        return Err(InvalidEntry::Unknown);
    }
    match (ended.result, ended.error) {
        (Some(Accepted { taken }), None) if taken <= count => Ok(CallResponse::Accepted(taken)),
        (Some(_), None) => Err(InvalidEntry::Range),
        // The error's form is not stated: it names its cause somewhere.
        (None, Some(_)) => {
            let says = |word: &[u8]| line.windows(word.len()).any(|part| part == word);
            match (says(b"limit"), says(b"malformed")) {
                (true, false) => Ok(CallResponse::Rejected),
                (false, true) => Ok(CallResponse::Malformed),
                _ => Err(InvalidEntry::Fields),
            }
        }
        _ => Err(InvalidEntry::Fields),
    }
}

/// The call that asks for news.
pub fn subscribe(id: u64) -> Vec<u8> {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"subscribe\"}}\n").into_bytes()
}
