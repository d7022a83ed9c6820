//! The protobuf messages in the body of a datagram. Tags define the wire format; decoders skip unknown fields.
use prost::{Message, Oneof};

#[derive(Clone, PartialEq, Message)]
pub(super) struct WirePacket {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub(super) body: Option<Body>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(super) enum Body {
    #[prost(message, tag = "1")]
    Message(WireMessage),
    #[prost(message, tag = "2")]
    ViewRequest(WireViewRequest),
    #[prost(message, tag = "3")]
    View(WireView),
    #[prost(message, tag = "4")]
    Drain(WireDrain),
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireMessage {
    #[prost(message, required, tag = "1")]
    pub(super) sender: WireMember,
    #[prost(uint64, tag = "2")]
    pub(super) sequence: u64,
    #[prost(message, required, tag = "3")]
    pub(super) load: WireLoad,
    #[prost(uint64, tag = "4")]
    pub(super) probe_number: u64,
    #[prost(message, repeated, tag = "5")]
    pub(super) gossip: Vec<WireMember>,
    #[prost(uint32, optional, tag = "6")]
    pub(super) outlier: Option<u32>,
    #[prost(fixed64, tag = "7")]
    pub(super) view_digest: u64,
    #[prost(oneof = "WirePayload", tags = "10, 11, 12, 13, 14, 15, 16, 17")]
    pub(super) payload: Option<WirePayload>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(super) enum WirePayload {
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

#[derive(Clone, PartialEq, Message)]
pub(super) struct Empty {}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireSyncDigest {
    #[prost(uint32, tag = "1")]
    pub(super) from: u32,
    #[prost(uint32, tag = "2")]
    pub(super) to: u32,
    #[prost(message, repeated, tag = "3")]
    pub(super) entries: Vec<WireDigestEntry>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireIds {
    #[prost(uint32, repeated, tag = "1")]
    pub(super) ids: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireDigestEntry {
    #[prost(uint32, tag = "1")]
    pub(super) id: u32,
    #[prost(uint64, tag = "2")]
    pub(super) process: u64,
    #[prost(uint64, tag = "3")]
    pub(super) count: u64,
    #[prost(uint32, tag = "4")]
    pub(super) status: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireMember {
    #[prost(message, required, tag = "1")]
    pub(super) entry: WireDigestEntry,
    #[prost(string, tag = "2")]
    pub(super) address: String,
    #[prost(string, tag = "3")]
    pub(super) program_version: String,
    #[prost(uint32, tag = "4")]
    pub(super) protocol_version: u32,
    #[prost(fixed64, tag = "5")]
    pub(super) settings_digest: u64,
    #[prost(bool, tag = "6")]
    pub(super) draining: bool,
    #[prost(uint32, optional, tag = "7")]
    pub(super) reported_by: Option<u32>,
    /// Not sent by builds from before slices were shared (0.2.0).
    #[prost(bool, tag = "8")]
    pub(super) store_unreachable: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireLoad {
    #[prost(uint32, tag = "1")]
    pub(super) slices: u32,
    #[prost(uint32, tag = "2")]
    pub(super) proxies: u32,
    #[prost(float, tag = "3")]
    pub(super) cpu_cores: f32,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireViewRequest {
    #[prost(uint64, tag = "1")]
    pub(super) nonce: u64,
    #[prost(uint32, tag = "2")]
    pub(super) from: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireView {
    #[prost(uint64, tag = "1")]
    pub(super) nonce: u64,
    #[prost(uint32, tag = "2")]
    pub(super) viewer: u32,
    #[prost(uint64, tag = "3")]
    pub(super) process: u64,
    #[prost(fixed64, tag = "4")]
    pub(super) digest: u64,
    #[prost(message, repeated, tag = "5")]
    pub(super) entries: Vec<WireViewEntry>,
    #[prost(uint32, optional, tag = "6")]
    pub(super) next: Option<u32>,
    #[prost(uint64, tag = "7")]
    pub(super) dropped: u64,
    #[prost(bool, tag = "8")]
    pub(super) superseded: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireViewEntry {
    #[prost(message, required, tag = "1")]
    pub(super) member: WireMember,
    #[prost(message, required, tag = "2")]
    pub(super) load: WireLoad,
    /// Seconds.
    #[prost(double, tag = "3")]
    pub(super) status_age: f64,
    /// Seconds; negative if no message has arrived.
    #[prost(double, tag = "4")]
    pub(super) last_seen_ago: f64,
    #[prost(bool, tag = "5")]
    pub(super) ejected: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireDrain {
    #[prost(uint32, tag = "1")]
    pub(super) node: u32,
    #[prost(uint64, tag = "2")]
    pub(super) process: u64,
}
