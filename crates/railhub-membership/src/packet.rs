//! Datagrams between stewards, and between a steward and one who looks at its view. A head tells version,
//! installation and checksum, so that what is spoilt, foreign or of a version that nobody here speaks is dropped
//! before anything of it is believed. Fields that a reader does not know are skipped (protocol buffers).
//!
//! Head: `RHF`, version (1 byte), CRC-32 of all that follows (4 bytes, big end first), length of the installation's
//! name (1 byte), the name; then the body.
use crate::member::{Incarnation, Load, Member, NodeMetadata, Status};
use crate::messages::{DigestEntry, Message, Payload, MAX_DIGEST_ENTRIES, MAX_GOSSIP_PER_MESSAGE};
use crate::swim::ViewEntry;
use crate::NodeId;
use prost::{Message as Wire, Oneof};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

const MAGIC: &[u8; 3] = b"RHF";
/// Version of the words between stewards.
pub const VERSION: u8 = 1;
/// Bytes of a datagram at the most: one Ethernet frame, with room for what tunnels add.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes of an installation's name, of a program's version and of an address at the most.
pub const MAX_INSTALLATION_BYTES: usize = 32;
const MAX_PROGRAM_VERSION_BYTES: usize = 24;
const MAX_ADDRESS_BYTES: usize = 48;
const HEADER_BYTES: usize = 9;
/// Lines of a view that one datagram shows.
pub const MAX_VIEW_ENTRIES: usize = 8;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecodeError {
    #[error("it is longer than {MAX_DATAGRAM_BYTES} bytes")]
    Oversized,
    #[error("it is spoilt, or no datagram of stewards")]
    #[serde(rename = "spoilt")]
    Corrupt,
    #[error("it is of a version that is not spoken here")]
    #[serde(rename = "version")]
    UnsupportedVersion,
    #[error("it is of another installation")]
    #[serde(rename = "foreign")]
    ForeignInstallation,
    #[error("its fields make no message")]
    Malformed,
}

/// Dropped datagrams by cause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DroppedDatagrams(pub BTreeMap<DecodeError, u64>);

impl DroppedDatagrams {
    pub fn count(&mut self, fault: DecodeError) {
        *self.0.entry(fault).or_default() += 1;
    }

    pub fn all(&self) -> u64 {
        self.0.values().sum()
    }
}

/// Part of a steward's view.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pub nonce: u64,
    pub viewer: NodeId,
    pub process: u64,
    pub digest: u64,
    pub lines: Vec<ViewEntry>,
    /// Where the next part begins, if there is one.
    pub next: Option<NodeId>,
    pub dropped: u64,
    pub superseded: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Packet {
    Words(Box<Message>),
    /// Show your view from a steward on. The one who asks bears nothing and is never counted.
    Look {
        nonce: u64,
        from: NodeId,
    },
    View(Box<View>),
    /// Hand your slices over, if you are this process: an old word must not drain the next one.
    Drain {
        steward: NodeId,
        process: u64,
    },
}

#[derive(Clone, PartialEq, Wire)]
struct WireLine {
    #[prost(uint32, tag = "1")]
    about: u32,
    #[prost(uint64, tag = "2")]
    process: u64,
    #[prost(uint64, tag = "3")]
    count: u64,
    #[prost(uint32, tag = "4")]
    status: u32,
}

#[derive(Clone, PartialEq, Wire)]
struct WireEntry {
    #[prost(message, required, tag = "1")]
    line: WireLine,
    #[prost(string, tag = "2")]
    address: String,
    #[prost(string, tag = "3")]
    program: String,
    #[prost(uint32, tag = "4")]
    protocol: u32,
    #[prost(fixed64, tag = "5")]
    settings: u64,
    #[prost(bool, tag = "6")]
    draining: bool,
    #[prost(uint32, optional, tag = "7")]
    by: Option<u32>,
    /// Absent in builds before 0.2.0 shared slices.
    #[prost(bool, tag = "8")]
    store_unreachable: bool,
}

#[derive(Clone, PartialEq, Wire)]
struct WireLoad {
    #[prost(uint32, tag = "1")]
    slices: u32,
    #[prost(uint32, tag = "2")]
    proxies: u32,
    #[prost(float, tag = "3")]
    busy: f32,
}

#[derive(Clone, PartialEq, Wire)]
struct WireSyncDigest {
    #[prost(uint32, tag = "1")]
    from: u32,
    #[prost(uint32, tag = "2")]
    to: u32,
    #[prost(message, repeated, tag = "3")]
    lines: Vec<WireLine>,
}

#[derive(Clone, PartialEq, Wire)]
struct WireIds {
    #[prost(uint32, repeated, tag = "1")]
    ids: Vec<u32>,
}

#[derive(Clone, PartialEq, Wire)]
struct Empty {}

#[derive(Clone, PartialEq, Oneof)]
enum WirePayload {
    #[prost(message, tag = "10")]
    Probe(Empty),
    #[prost(uint32, tag = "11")]
    IndirectProbe(u32),
    #[prost(message, tag = "12")]
    Ack(Empty),
    #[prost(uint32, tag = "13")]
    IndirectAck(u32),
    #[prost(uint32, tag = "14")]
    Nack(u32),
    #[prost(message, tag = "15")]
    SyncDigest(WireSyncDigest),
    #[prost(message, tag = "16")]
    SyncRequest(WireIds),
    #[prost(message, tag = "17")]
    Gossip(Empty),
}

#[derive(Clone, PartialEq, Wire)]
struct WireMessage {
    #[prost(message, required, tag = "1")]
    from: WireEntry,
    #[prost(uint64, tag = "2")]
    turn: u64,
    #[prost(message, required, tag = "3")]
    load: WireLoad,
    #[prost(uint64, tag = "4")]
    number: u64,
    #[prost(message, repeated, tag = "5")]
    news: Vec<WireEntry>,
    #[prost(uint32, optional, tag = "6")]
    names: Option<u32>,
    #[prost(fixed64, tag = "7")]
    digest: u64,
    #[prost(oneof = "WirePayload", tags = "10, 11, 12, 13, 14, 15, 16, 17")]
    ask: Option<WirePayload>,
}

#[derive(Clone, PartialEq, Wire)]
struct WireViewRequest {
    #[prost(uint64, tag = "1")]
    nonce: u64,
    #[prost(uint32, tag = "2")]
    from: u32,
}

#[derive(Clone, PartialEq, Wire)]
struct WireViewEntry {
    #[prost(message, required, tag = "1")]
    entry: WireEntry,
    #[prost(message, required, tag = "2")]
    load: WireLoad,
    #[prost(double, tag = "3")]
    stands_for: f64,
    #[prost(double, tag = "4")]
    heard_ago: f64,
    #[prost(bool, tag = "5")]
    withdrawn: bool,
}

#[derive(Clone, PartialEq, Wire)]
struct WireView {
    #[prost(uint64, tag = "1")]
    nonce: u64,
    #[prost(uint32, tag = "2")]
    viewer: u32,
    #[prost(uint64, tag = "3")]
    process: u64,
    #[prost(fixed64, tag = "4")]
    digest: u64,
    #[prost(message, repeated, tag = "5")]
    lines: Vec<WireViewEntry>,
    #[prost(uint32, optional, tag = "6")]
    next: Option<u32>,
    #[prost(uint64, tag = "7")]
    dropped: u64,
    #[prost(bool, tag = "8")]
    superseded: bool,
}

#[derive(Clone, PartialEq, Oneof)]
enum Body {
    #[prost(message, tag = "1")]
    Words(WireMessage),
    #[prost(message, tag = "2")]
    Look(WireViewRequest),
    #[prost(message, tag = "3")]
    View(WireView),
    #[prost(message, tag = "4")]
    Drain(WireDrain),
}

#[derive(Clone, PartialEq, Wire)]
struct WireDrain {
    #[prost(uint32, tag = "1")]
    steward: u32,
    #[prost(uint64, tag = "2")]
    process: u64,
}

#[derive(Clone, PartialEq, Wire)]
struct WirePacket {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    body: Option<Body>,
}

/// A datagram; it may come out longer than [`BYTES_MOST`] only if its [`NodeMetadata`] are too long, which those read
/// from a file and from other datagrams are not.
pub fn encode(installation: &str, packet: &Packet) -> Vec<u8> {
    let body = match packet {
        Packet::Words(message) => Body::Words(wire_message(message)),
        Packet::Look { nonce, from } => Body::Look(WireViewRequest { nonce: *nonce, from: from.0.into() }),
        Packet::View(view) => Body::View(wire_view(view)),
        Packet::Drain { steward, process } => {
            Body::Drain(WireDrain { steward: steward.0.into(), process: *process })
        }
    };
    let name = &installation.as_bytes()[..installation.len().min(MAX_INSTALLATION_BYTES)];
    let mut rest = vec![name.len() as u8];
    rest.extend_from_slice(name);
    rest.extend(WirePacket { body: Some(body) }.encode_to_vec());
    let mut bytes = Vec::with_capacity(HEADER_BYTES + rest.len());
    bytes.extend_from_slice(MAGIC);
    bytes.push(VERSION);
    bytes.extend_from_slice(&crc32fast::hash(&rest).to_be_bytes());
    bytes.extend(rest);
    bytes
}

/// What a datagram says.
///
/// # Errors
/// The cause to drop and count it under.
pub fn decode(installation: &str, bytes: &[u8]) -> Result<Packet, DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::Oversized);
    }
    if bytes.len() < HEADER_BYTES || &bytes[..3] != MAGIC {
        return Err(DecodeError::Corrupt);
    }
    if bytes[3] != VERSION {
        return Err(DecodeError::UnsupportedVersion);
    }
    let sum = u32::from_be_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]);
    if crc32fast::hash(&bytes[8..]) != sum {
        return Err(DecodeError::Corrupt);
    }
    let length = usize::from(bytes[8]);
    let body = bytes.get(HEADER_BYTES + length..).ok_or(DecodeError::Corrupt)?;
    if &bytes[HEADER_BYTES..HEADER_BYTES + length] != installation.as_bytes() {
        return Err(DecodeError::ForeignInstallation);
    }
    let packet = WirePacket::decode(body).map_err(|_| DecodeError::Malformed)?;
    match packet.body.ok_or(DecodeError::Malformed)? {
        Body::Words(message) => Ok(Packet::Words(Box::new(read_message(message)?))),
        Body::Look(look) => Ok(Packet::Look { nonce: look.nonce, from: id(look.from)? }),
        Body::View(view) => Ok(Packet::View(Box::new(read_view(view)?))),
        Body::Drain(drain) => Ok(Packet::Drain { steward: id(drain.steward)?, process: drain.process }),
    }
}

fn id(number: u32) -> Result<NodeId, DecodeError> {
    u16::try_from(number).map(NodeId).map_err(|_| DecodeError::Malformed)
}

fn wire_line(about: NodeId, incarnation: Incarnation, status: Status) -> WireLine {
    WireLine {
        about: about.0.into(),
        process: incarnation.process,
        count: incarnation.count,
        status: status as u32,
    }
}

fn read_line(line: &WireLine) -> Result<DigestEntry, DecodeError> {
    let standings = [Status::Alive, Status::Suspect, Status::Left, Status::Dead, Status::Forgotten];
    let status = standings.get(line.status as usize).copied().ok_or(DecodeError::Malformed)?;
    // An incarnation at the very end could not be refuted: nothing is above it.
    if line.count == u64::MAX || line.process == u64::MAX {
        return Err(DecodeError::Malformed);
    }
    let incarnation = Incarnation { process: line.process, count: line.count };
    Ok(DigestEntry { about: id(line.about)?, incarnation, status })
}

fn wire_entry(entry: &Member) -> WireEntry {
    WireEntry {
        line: wire_line(entry.about, entry.incarnation, entry.status),
        address: entry.metadata.address.map(|address| address.to_string()).unwrap_or_default(),
        program: entry.metadata.program.chars().take(MAX_PROGRAM_VERSION_BYTES).collect(),
        protocol: entry.metadata.protocol,
        settings: entry.metadata.settings,
        draining: entry.metadata.draining,
        store_unreachable: entry.metadata.store_unreachable,
        by: entry.by.map(|by| by.0.into()),
    }
}

fn read_entry(entry: WireEntry) -> Result<Member, DecodeError> {
    let line = read_line(&entry.line)?;
    if entry.address.len() > MAX_ADDRESS_BYTES || entry.program.len() > MAX_PROGRAM_VERSION_BYTES {
        return Err(DecodeError::Malformed);
    }
    let address: Option<SocketAddr> = match entry.address.as_str() {
        "" => None,
        text => Some(text.parse().map_err(|_| DecodeError::Malformed)?),
    };
    let metadata = NodeMetadata {
        address,
        program: entry.program,
        protocol: entry.protocol,
        settings: entry.settings,
        draining: entry.draining,
        store_unreachable: entry.store_unreachable,
    };
    let by = entry.by.map(id).transpose()?;
    Ok(Member { about: line.about, incarnation: line.incarnation, status: line.status, metadata, by })
}

fn wire_load(load: &Load) -> WireLoad {
    WireLoad { slices: load.slices, proxies: load.proxies, busy: load.busy }
}

fn read_load(load: &WireLoad) -> Result<Load, DecodeError> {
    let is_share = load.busy.is_finite() && load.busy >= 0.0;
    is_share
        .then_some(Load { slices: load.slices, proxies: load.proxies, busy: load.busy })
        .ok_or(DecodeError::Malformed)
}

fn wire_message(message: &Message) -> WireMessage {
    let ask = match &message.ask {
        Payload::Probe => WirePayload::Probe(Empty {}),
        Payload::IndirectProbe(id) => WirePayload::IndirectProbe(id.0.into()),
        Payload::Ack => WirePayload::Ack(Empty {}),
        Payload::IndirectAck(id) => WirePayload::IndirectAck(id.0.into()),
        Payload::Nack(id) => WirePayload::Nack(id.0.into()),
        Payload::SyncDigest { from, to, entries } => WirePayload::SyncDigest(WireSyncDigest {
            from: from.0.into(),
            to: to.0.into(),
            lines: entries.iter().map(|line| wire_line(line.about, line.incarnation, line.status)).collect(),
        }),
        Payload::SyncRequest(ids) => {
            WirePayload::SyncRequest(WireIds { ids: ids.iter().map(|id| id.0.into()).collect() })
        }
        Payload::Gossip => WirePayload::Gossip(Empty {}),
    };
    WireMessage {
        from: wire_entry(&message.from),
        turn: message.turn,
        load: wire_load(&message.load),
        number: message.number,
        news: message.news.iter().map(wire_entry).collect(),
        names: message.names.map(|id| id.0.into()),
        digest: message.digest,
        ask: Some(ask),
    }
}

fn read_message(message: WireMessage) -> Result<Message, DecodeError> {
    if message.news.len() > MAX_GOSSIP_PER_MESSAGE + 1 {
        return Err(DecodeError::Malformed);
    }
    let from = read_entry(message.from)?;
    // Nobody says of itself that it is suspect or dead.
    if !matches!(from.status, Status::Alive | Status::Left) {
        return Err(DecodeError::Malformed);
    }
    // A kind of question that a later version asks is no reason to lose what else the message says.
    let ask = message.ask.map_or(Ok(Payload::Gossip), read_ask)?;
    Ok(Message {
        from,
        turn: message.turn,
        load: read_load(&message.load)?,
        number: message.number,
        ask,
        news: message.news.into_iter().map(read_entry).collect::<Result<_, _>>()?,
        names: message.names.map(id).transpose()?,
        digest: message.digest,
    })
}

fn read_ask(ask: WirePayload) -> Result<Payload, DecodeError> {
    Ok(match ask {
        WirePayload::Probe(_) => Payload::Probe,
        WirePayload::IndirectProbe(of) => Payload::IndirectProbe(id(of)?),
        WirePayload::Ack(_) => Payload::Ack,
        WirePayload::IndirectAck(of) => Payload::IndirectAck(id(of)?),
        WirePayload::Nack(of) => Payload::Nack(id(of)?),
        WirePayload::SyncDigest(compare) => {
            if compare.lines.len() > MAX_DIGEST_ENTRIES {
                return Err(DecodeError::Malformed);
            }
            let entries = compare.lines.iter().map(read_line).collect::<Result<_, _>>()?;
            Payload::SyncDigest { from: id(compare.from)?, to: id(compare.to)?, entries }
        }
        WirePayload::SyncRequest(want) => {
            if want.ids.len() > MAX_DIGEST_ENTRIES {
                return Err(DecodeError::Malformed);
            }
            Payload::SyncRequest(want.ids.into_iter().map(id).collect::<Result<_, _>>()?)
        }
        WirePayload::Gossip(_) => Payload::Gossip,
    })
}

fn wire_view(view: &View) -> WireView {
    let line = |line: &ViewEntry| WireViewEntry {
        entry: wire_entry(&line.entry),
        load: wire_load(&line.load),
        stands_for: line.stands_for,
        heard_ago: if line.heard_ago.is_finite() { line.heard_ago } else { -1.0 },
        withdrawn: line.withdrawn,
    };
    WireView {
        nonce: view.nonce,
        viewer: view.viewer.0.into(),
        process: view.process,
        digest: view.digest,
        lines: view.lines.iter().map(line).collect(),
        next: view.next.map(|id| id.0.into()),
        dropped: view.dropped,
        superseded: view.superseded,
    }
}

fn read_view(view: WireView) -> Result<View, DecodeError> {
    let line = |line: WireViewEntry| {
        Ok(ViewEntry {
            entry: read_entry(line.entry)?,
            load: read_load(&line.load)?,
            stands_for: line.stands_for,
            heard_ago: if line.heard_ago < 0.0 { f64::INFINITY } else { line.heard_ago },
            withdrawn: line.withdrawn,
        })
    };
    if view.lines.len() > MAX_VIEW_ENTRIES {
        return Err(DecodeError::Malformed);
    }
    Ok(View {
        nonce: view.nonce,
        viewer: id(view.viewer)?,
        process: view.process,
        digest: view.digest,
        lines: view.lines.into_iter().map(line).collect::<Result<_, _>>()?,
        next: view.next.map(id).transpose()?,
        dropped: view.dropped,
        superseded: view.superseded,
    })
}

#[cfg(test)]
mod tests;
