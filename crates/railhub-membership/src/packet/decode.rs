//! Decodes datagrams into packets and enforces the bounds on everything that a peer can send.
use super::error::DecodeError;
use super::limits::{
    HEADER_BYTES, MAGIC, MAX_ADDRESS_BYTES, MAX_DATAGRAM_BYTES, MAX_PROGRAM_VERSION_BYTES, MAX_VIEW_ENTRIES,
    VERSION,
};
use super::types::{Packet, View};
use super::wire::{
    Body, WireDigestEntry, WireIds, WireLoad, WireMember, WireMessage, WirePacket, WirePayload,
    WireSyncDigest, WireView, WireViewEntry,
};
use crate::member::{Incarnation, Load, Member, NodeMetadata, Status};
use crate::messages::{DigestEntry, Message, Payload, MAX_DIGEST_ENTRIES, MAX_GOSSIP_PER_MESSAGE};
use crate::view::ViewEntry;
use crate::NodeId;
use prost::Message as _;
use std::net::SocketAddr;

/// Decodes a datagram that was sent within the given installation.
///
/// # Errors
/// The reason for which the datagram must be dropped.
pub fn decode(installation: &str, datagram: &[u8]) -> Result<Packet, DecodeError> {
    let body = verified_body(installation, datagram)?;
    let packet = WirePacket::decode(body).map_err(|_| DecodeError::Malformed)?;
    match packet.body.ok_or(DecodeError::Malformed)? {
        Body::Message(message) => Ok(Packet::Message(Box::new(read_message(message)?))),
        Body::ViewRequest(request) => {
            Ok(Packet::ViewRequest { nonce: request.nonce, from: read_id(request.from)? })
        }
        Body::View(view) => Ok(Packet::View(Box::new(read_view(view)?))),
        Body::Drain(drain) => Ok(Packet::Drain { node: read_id(drain.node)?, process: drain.process }),
    }
}

/// The body of a datagram, after verifying its header and checksum.
fn verified_body<'a>(installation: &str, datagram: &'a [u8]) -> Result<&'a [u8], DecodeError> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::Oversized);
    }
    if datagram.len() < HEADER_BYTES || &datagram[..3] != MAGIC {
        return Err(DecodeError::Corrupt);
    }
    if datagram[3] != VERSION {
        return Err(DecodeError::UnsupportedVersion);
    }
    let checksum = u32::from_be_bytes([datagram[4], datagram[5], datagram[6], datagram[7]]);
    if crc32fast::hash(&datagram[8..]) != checksum {
        return Err(DecodeError::Corrupt);
    }
    let name_end = HEADER_BYTES + usize::from(datagram[8]);
    let body = datagram.get(name_end..).ok_or(DecodeError::Corrupt)?;
    if &datagram[HEADER_BYTES..name_end] != installation.as_bytes() {
        return Err(DecodeError::ForeignInstallation);
    }
    Ok(body)
}

fn read_message(message: WireMessage) -> Result<Message, DecodeError> {
    // One entry more than this version sends is accepted.
    if message.gossip.len() > MAX_GOSSIP_PER_MESSAGE + 1 {
        return Err(DecodeError::Malformed);
    }
    let sender = read_member(message.sender)?;
    // A node never sends its own entry as suspect, dead or forgotten.
    if !matches!(sender.status, Status::Alive | Status::Left) {
        return Err(DecodeError::Malformed);
    }
    // A payload type of a later version decodes to `None` and is treated as gossip: the rest of the message is still
    // used.
    let payload = message.payload.map_or(Ok(Payload::Gossip), read_payload)?;
    Ok(Message {
        sender,
        sequence: message.sequence,
        load: read_load(&message.load)?,
        probe_number: message.probe_number,
        payload,
        gossip: message.gossip.into_iter().map(read_member).collect::<Result<_, _>>()?,
        outlier: message.outlier.map(read_id).transpose()?,
        view_digest: message.view_digest,
    })
}

fn read_payload(payload: WirePayload) -> Result<Payload, DecodeError> {
    Ok(match payload {
        WirePayload::Probe(_) => Payload::Probe,
        WirePayload::IndirectProbe(target) => Payload::IndirectProbe(read_id(target)?),
        WirePayload::Ack(_) => Payload::Ack,
        WirePayload::IndirectAck(target) => Payload::IndirectAck(read_id(target)?),
        WirePayload::Nack(target) => Payload::Nack(read_id(target)?),
        WirePayload::SyncDigest(digest) => read_sync_digest(&digest)?,
        WirePayload::SyncRequest(request) => read_sync_request(request)?,
        WirePayload::Gossip(_) => Payload::Gossip,
    })
}

fn read_sync_digest(digest: &WireSyncDigest) -> Result<Payload, DecodeError> {
    if digest.entries.len() > MAX_DIGEST_ENTRIES {
        return Err(DecodeError::Malformed);
    }
    let entries = digest.entries.iter().map(read_digest_entry).collect::<Result<_, _>>()?;
    Ok(Payload::SyncDigest { from: read_id(digest.from)?, to: read_id(digest.to)?, entries })
}

fn read_sync_request(request: WireIds) -> Result<Payload, DecodeError> {
    if request.ids.len() > MAX_DIGEST_ENTRIES {
        return Err(DecodeError::Malformed);
    }
    let ids = request.ids.into_iter().map(read_id).collect::<Result<_, _>>()?;
    Ok(Payload::SyncRequest(ids))
}

fn read_id(id: u32) -> Result<NodeId, DecodeError> {
    u16::try_from(id).map(NodeId).map_err(|_| DecodeError::Malformed)
}

fn read_digest_entry(entry: &WireDigestEntry) -> Result<DigestEntry, DecodeError> {
    let statuses = [Status::Alive, Status::Suspect, Status::Left, Status::Dead, Status::Forgotten];
    let status = statuses.get(entry.status as usize).copied().ok_or(DecodeError::Malformed)?;
    // The highest possible incarnation is rejected, because no higher one could refute it.
    if entry.count == u64::MAX || entry.process == u64::MAX {
        return Err(DecodeError::Malformed);
    }
    let incarnation = Incarnation { process: entry.process, count: entry.count };
    Ok(DigestEntry { id: read_id(entry.id)?, incarnation, status })
}

fn read_member(member: WireMember) -> Result<Member, DecodeError> {
    let entry = read_digest_entry(&member.entry)?;
    if member.address.len() > MAX_ADDRESS_BYTES || member.program_version.len() > MAX_PROGRAM_VERSION_BYTES {
        return Err(DecodeError::Malformed);
    }
    let address: Option<SocketAddr> = match member.address.as_str() {
        "" => None,
        text => Some(text.parse().map_err(|_| DecodeError::Malformed)?),
    };
    let metadata = NodeMetadata {
        address,
        program_version: member.program_version,
        protocol_version: member.protocol_version,
        settings_digest: member.settings_digest,
        draining: member.draining,
        store_unreachable: member.store_unreachable,
    };
    let reported_by = member.reported_by.map(read_id).transpose()?;
    let DigestEntry { id, incarnation, status } = entry;
    Ok(Member { id, incarnation, status, metadata, reported_by })
}

fn read_load(load: &WireLoad) -> Result<Load, DecodeError> {
    if !load.cpu_cores.is_finite() || load.cpu_cores < 0.0 {
        return Err(DecodeError::Malformed);
    }
    Ok(Load { slices: load.slices, proxies: load.proxies, cpu_cores: load.cpu_cores })
}

fn read_view(view: WireView) -> Result<View, DecodeError> {
    if view.entries.len() > MAX_VIEW_ENTRIES {
        return Err(DecodeError::Malformed);
    }
    Ok(View {
        nonce: view.nonce,
        viewer: read_id(view.viewer)?,
        process: view.process,
        digest: view.digest,
        entries: view.entries.into_iter().map(read_view_entry).collect::<Result<_, _>>()?,
        next: view.next.map(read_id).transpose()?,
        dropped: view.dropped,
        superseded: view.superseded,
    })
}

fn read_view_entry(entry: WireViewEntry) -> Result<ViewEntry, DecodeError> {
    Ok(ViewEntry {
        member: read_member(entry.member)?,
        load: read_load(&entry.load)?,
        status_age: entry.status_age,
        last_seen_ago: if entry.last_seen_ago < 0.0 { f64::INFINITY } else { entry.last_seen_ago },
        ejected: entry.ejected,
    })
}
