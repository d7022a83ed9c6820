use super::limits::{MAGIC, MAX_PROGRAM_VERSION_BYTES};
use super::*;
use crate::member::{Incarnation, Load, Member, NodeMetadata, Status};
use crate::messages::{DigestEntry, Message, Payload, MAX_DIGEST_ENTRIES, MAX_GOSSIP_PER_MESSAGE};
use crate::view::ViewEntry;
use crate::NodeId;
use proptest::prelude::*;

fn longest_member() -> Member {
    let metadata = NodeMetadata {
        address: Some("[1111:2222:3333:4444:5555:6666:7777:8888]:65535".parse().expect("a valid address")),
        program_version: "9".repeat(MAX_PROGRAM_VERSION_BYTES),
        protocol_version: u32::MAX,
        settings_digest: u64::MAX,
        draining: true,
        store_unreachable: true,
    };
    let incarnation = Incarnation { process: u64::MAX - 1, count: u64::MAX - 1 };
    let reported_by = Some(NodeId(u16::MAX));
    Member { id: NodeId(u16::MAX), incarnation, status: Status::Alive, metadata, reported_by }
}

fn message(payload: Payload, gossip: usize) -> Packet {
    Packet::Message(Box::new(Message {
        sender: longest_member(),
        sequence: u64::MAX,
        load: Load { slices: u32::MAX, proxies: u32::MAX, cpu_cores: 1.0 },
        probe_number: u64::MAX,
        payload,
        gossip: vec![longest_member(); gossip],
        outlier: Some(NodeId(u16::MAX)),
        view_digest: u64::MAX,
    }))
}

#[test]
fn largest_packets_fit_in_a_datagram_and_round_trip() {
    let ids = vec![NodeId(u16::MAX); MAX_DIGEST_ENTRIES];
    let entry = DigestEntry { id: ids[0], incarnation: longest_member().incarnation, status: Status::Dead };
    let entries = vec![entry; MAX_DIGEST_ENTRIES];
    let sync_digest = Payload::SyncDigest { from: NodeId(0), to: NodeId(u16::MAX), entries };
    let view_entry = ViewEntry {
        member: longest_member(),
        load: Load::default(),
        status_age: 1e9,
        last_seen_ago: 1.0,
        ejected: true,
    };
    let view = View {
        nonce: u64::MAX,
        viewer: ids[0],
        process: u64::MAX,
        digest: u64::MAX,
        entries: vec![view_entry; MAX_VIEW_ENTRIES],
        next: Some(ids[0]),
        dropped: u64::MAX,
        superseded: true,
    };
    let packets = [
        message(Payload::SyncRequest(ids), MAX_GOSSIP_PER_MESSAGE),
        message(sync_digest, 0),
        Packet::ViewRequest { nonce: 7, from: NodeId(9) },
        Packet::Drain { node: NodeId(3), process: 12 },
        Packet::View(Box::new(view)),
    ];
    for packet in packets {
        let bytes = encode(&"n".repeat(MAX_INSTALLATION_BYTES), &packet);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes: {packet:?}", bytes.len());
        assert_eq!(decode(&"n".repeat(MAX_INSTALLATION_BYTES), &bytes), Ok(packet));
    }
}

#[test]
fn decode_reports_the_cause_of_each_rejection() {
    let bytes = encode("here", &message(Payload::Probe, 1));
    assert_eq!(decode("there", &bytes), Err(DecodeError::ForeignInstallation));
    assert_eq!(decode("here", &bytes[..bytes.len() - 1]), Err(DecodeError::Corrupt));
    assert_eq!(decode("here", &[0; MAX_DATAGRAM_BYTES + 1]), Err(DecodeError::Oversized));
    let mut other_version = bytes.clone();
    other_version[3] = 0;
    assert_eq!(decode("here", &other_version), Err(DecodeError::UnsupportedVersion));
    let mut corrupt = bytes;
    let last = corrupt.len() - 1;
    corrupt[last] ^= 1;
    assert_eq!(decode("here", &corrupt), Err(DecodeError::Corrupt));
}

proptest! {
    #[test]
    fn decode_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut checksummed = vec![1, b'x'];
        checksummed.extend(&bytes);
        let mut datagram = MAGIC.to_vec();
        datagram.push(VERSION);
        datagram.extend(crc32fast::hash(&checksummed).to_be_bytes());
        datagram.extend(checksummed);
        let _ = (decode("x", &bytes), decode("x", &datagram));
    }
}
