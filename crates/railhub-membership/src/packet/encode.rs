//! Encodes packets as datagrams.
use super::limits::{HEADER_BYTES, MAGIC, MAX_INSTALLATION_BYTES, MAX_PROGRAM_VERSION_BYTES, VERSION};
use super::types::{Packet, View};
use super::wire::{
    Body, Empty, WireDigestEntry, WireDrain, WireIds, WireLoad, WireMember, WireMessage, WirePacket,
    WirePayload, WireSyncDigest, WireView, WireViewEntry, WireViewRequest,
};
use crate::member::{Incarnation, Load, Member, Status};
use crate::messages::{DigestEntry, Message, Payload};
use crate::view::ViewEntry;
use crate::NodeId;
use prost::Message as _;

/// Encodes a packet as a datagram. The datagram exceeds [`super::MAX_DATAGRAM_BYTES`] only if its
/// [`crate::member::NodeMetadata`] are longer than a configuration file or another datagram can make them.
pub fn encode(installation: &str, packet: &Packet) -> Vec<u8> {
    let name = &installation.as_bytes()[..installation.len().min(MAX_INSTALLATION_BYTES)];
    let mut checksummed = vec![name.len() as u8];
    checksummed.extend_from_slice(name);
    checksummed.extend(WirePacket { body: Some(body(packet)) }.encode_to_vec());
    let mut datagram = Vec::with_capacity(HEADER_BYTES + checksummed.len());
    datagram.extend_from_slice(MAGIC);
    datagram.push(VERSION);
    datagram.extend_from_slice(&crc32fast::hash(&checksummed).to_be_bytes());
    datagram.extend(checksummed);
    datagram
}

fn body(packet: &Packet) -> Body {
    match packet {
        Packet::Message(message) => Body::Message(wire_message(message)),
        Packet::ViewRequest { nonce, from } => {
            Body::ViewRequest(WireViewRequest { nonce: *nonce, from: from.0.into() })
        }
        Packet::View(view) => Body::View(wire_view(view)),
        Packet::Drain { node, process } => Body::Drain(WireDrain { node: node.0.into(), process: *process }),
    }
}

fn wire_message(message: &Message) -> WireMessage {
    WireMessage {
        sender: wire_member(&message.sender),
        sequence: message.sequence,
        load: wire_load(&message.load),
        probe_number: message.probe_number,
        gossip: message.gossip.iter().map(wire_member).collect(),
        outlier: message.outlier.map(wire_id),
        view_digest: message.view_digest,
        payload: Some(wire_payload(&message.payload)),
    }
}

fn wire_payload(payload: &Payload) -> WirePayload {
    match payload {
        Payload::Probe => WirePayload::Probe(Empty {}),
        Payload::IndirectProbe(target) => WirePayload::IndirectProbe(wire_id(*target)),
        Payload::Ack => WirePayload::Ack(Empty {}),
        Payload::IndirectAck(target) => WirePayload::IndirectAck(wire_id(*target)),
        Payload::Nack(target) => WirePayload::Nack(wire_id(*target)),
        Payload::SyncDigest { from, to, entries } => WirePayload::SyncDigest(WireSyncDigest {
            from: wire_id(*from),
            to: wire_id(*to),
            entries: entries.iter().map(wire_digest_entry).collect(),
        }),
        Payload::SyncRequest(ids) => {
            WirePayload::SyncRequest(WireIds { ids: ids.iter().copied().map(wire_id).collect() })
        }
        Payload::Gossip => WirePayload::Gossip(Empty {}),
    }
}

fn wire_id(id: NodeId) -> u32 {
    id.0.into()
}

fn wire_digest_entry(entry: &DigestEntry) -> WireDigestEntry {
    wire_entry(entry.id, entry.incarnation, entry.status)
}

fn wire_entry(id: NodeId, incarnation: Incarnation, status: Status) -> WireDigestEntry {
    WireDigestEntry {
        id: wire_id(id),
        process: incarnation.process,
        count: incarnation.count,
        status: status as u32,
    }
}

fn wire_member(member: &Member) -> WireMember {
    let metadata = &member.metadata;
    WireMember {
        entry: wire_entry(member.id, member.incarnation, member.status),
        address: metadata.address.map(|address| address.to_string()).unwrap_or_default(),
        program_version: metadata.program_version.chars().take(MAX_PROGRAM_VERSION_BYTES).collect(),
        protocol_version: metadata.protocol_version,
        settings_digest: metadata.settings_digest,
        draining: metadata.draining,
        store_unreachable: metadata.store_unreachable,
        reported_by: member.reported_by.map(wire_id),
    }
}

fn wire_load(load: &Load) -> WireLoad {
    WireLoad { slices: load.slices, proxies: load.proxies, cpu_cores: load.cpu_cores }
}

fn wire_view(view: &View) -> WireView {
    WireView {
        nonce: view.nonce,
        viewer: wire_id(view.viewer),
        process: view.process,
        digest: view.digest,
        entries: view.entries.iter().map(wire_view_entry).collect(),
        next: view.next.map(wire_id),
        dropped: view.dropped,
        superseded: view.superseded,
    }
}

fn wire_view_entry(entry: &ViewEntry) -> WireViewEntry {
    WireViewEntry {
        member: wire_member(&entry.member),
        load: wire_load(&entry.load),
        status_age: entry.status_age,
        last_seen_ago: if entry.last_seen_ago.is_finite() { entry.last_seen_ago } else { -1.0 },
        ejected: entry.ejected,
    }
}
