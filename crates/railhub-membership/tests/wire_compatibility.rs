//! The bytes of each kind of datagram between controllers, as literals. Other builds decode them, so they must not change
//! when names in the code change.
use railhub_membership::member::{Incarnation, Load, Member, NodeMetadata, Status};
use railhub_membership::messages::{DigestEntry, Message, Payload};
use railhub_membership::packet::{decode, encode, Packet, View};
use railhub_membership::view::ViewEntry;
use railhub_membership::NodeId;

const INSTALLATION: &str = "here";

fn member(id: u16, status: Status, reported_by: Option<u16>) -> Member {
    let metadata = NodeMetadata {
        address: Some("[2001:db8::1]:7946".parse().expect("a valid address")),
        program_version: "0.2.0".to_owned(),
        protocol_version: 1,
        settings_digest: 0x0123_4567_89ab_cdef,
        draining: true,
        store_unreachable: true,
    };
    let incarnation = Incarnation { process: 1_700_000_000_000_000, count: 300 };
    Member { id: NodeId(id), incarnation, status, metadata, reported_by: reported_by.map(NodeId) }
}

fn load() -> Load {
    Load { slices: 700, proxies: 12, cpu_cores: 0.25 }
}

fn message(payload: Payload) -> Packet {
    let gossip = vec![member(7, Status::Suspect, Some(2)), member(8, Status::Forgotten, None)];
    let sender = member(3, Status::Alive, None);
    Packet::Message(Box::new(Message {
        sender,
        sequence: 41,
        load: load(),
        probe_number: 99,
        payload,
        gossip,
        outlier: Some(NodeId(5)),
        view_digest: 0xfeed_beef_0000_0001,
    }))
}

fn digest_entry(id: u16, status: Status) -> DigestEntry {
    DigestEntry { id: NodeId(id), incarnation: Incarnation { process: 5, count: 6 }, status }
}

fn view() -> Packet {
    let view_entry = |id: u16, status: Status, last_seen_ago: f64| ViewEntry {
        member: member(id, status, Some(1)),
        load: load(),
        status_age: 12.5,
        last_seen_ago,
        ejected: true,
    };
    let entries = vec![view_entry(1, Status::Dead, 0.5), view_entry(2, Status::Left, f64::INFINITY)];
    Packet::View(Box::new(View {
        nonce: 77,
        viewer: NodeId(9),
        process: 1_000_000,
        digest: 0x0102_0304_0506_0708,
        entries,
        next: Some(NodeId(300)),
        dropped: 4,
        superseded: true,
    }))
}

#[track_caller]
fn assert_packet(packet: &Packet, hex: &str) {
    let bytes = encode(INSTALLATION, packet);
    let encoded: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(encoded, hex);
    assert_eq!(decode(INSTALLATION, &bytes).as_ref(), Ok(packet));
}

#[test]
fn probe_bytes() {
    assert_packet(&message(Payload::Probe), "524846014d494bf704686572650ad7010a3a0a0e0803108080f9c0c1c4820318ac0212125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400110291a0a08bc05100c1d0000803e20632a3e0a100807108080f9c0c1c4820318ac02200112125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001380240012a3c0a100808108080f9c0c1c4820318ac02200412125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400130053901000000efbeedfe5200");
}

#[test]
fn indirect_probe_bytes() {
    assert_packet(&message(Payload::IndirectProbe(NodeId(513))), "52484601e0e396f704686572650ad8010a3a0a0e0803108080f9c0c1c4820318ac0212125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400110291a0a08bc05100c1d0000803e20632a3e0a100807108080f9c0c1c4820318ac02200112125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001380240012a3c0a100808108080f9c0c1c4820318ac02200412125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400130053901000000efbeedfe588104");
}

#[test]
fn ack_bytes() {
    assert_packet(&message(Payload::Ack), "52484601920f7d0404686572650ad7010a3a0a0e0803108080f9c0c1c4820318ac0212125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400110291a0a08bc05100c1d0000803e20632a3e0a100807108080f9c0c1c4820318ac02200112125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001380240012a3c0a100808108080f9c0c1c4820318ac02200412125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400130053901000000efbeedfe6200");
}

#[test]
fn indirect_ack_bytes() {
    assert_packet(&message(Payload::IndirectAck(NodeId(513))), "52484601c488736704686572650ad8010a3a0a0e0803108080f9c0c1c4820318ac0212125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400110291a0a08bc05100c1d0000803e20632a3e0a100807108080f9c0c1c4820318ac02200112125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001380240012a3c0a100808108080f9c0c1c4820318ac02200412125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400130053901000000efbeedfe688104");
}

#[test]
fn nack_bytes() {
    assert_packet(&message(Payload::Nack(NodeId(513))), "52484601d6bd81af04686572650ad8010a3a0a0e0803108080f9c0c1c4820318ac0212125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400110291a0a08bc05100c1d0000803e20632a3e0a100807108080f9c0c1c4820318ac02200112125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001380240012a3c0a100808108080f9c0c1c4820318ac02200412125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400130053901000000efbeedfe708104");
}

#[test]
fn sync_digest_bytes() {
    let entries = vec![digest_entry(1, Status::Alive), digest_entry(2, Status::Left)];
    let sync_digest = Payload::SyncDigest { from: NodeId(1), to: NodeId(65535), entries };
    assert_packet(&message(sync_digest), "524846016568e2b904686572650aef010a3a0a0e0803108080f9c0c1c4820318ac0212125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400110291a0a08bc05100c1d0000803e20632a3e0a100807108080f9c0c1c4820318ac02200112125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001380240012a3c0a100808108080f9c0c1c4820318ac02200412125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400130053901000000efbeedfe7a18080110ffff031a060801100518061a080802100518062002");
}

#[test]
fn sync_request_bytes() {
    assert_packet(&message(Payload::SyncRequest(vec![NodeId(1), NodeId(200)])), "524846013529bc6004686572650add010a3a0a0e0803108080f9c0c1c4820318ac0212125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400110291a0a08bc05100c1d0000803e20632a3e0a100807108080f9c0c1c4820318ac02200112125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001380240012a3c0a100808108080f9c0c1c4820318ac02200412125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400130053901000000efbeedfe8201050a0301c801");
}

#[test]
fn gossip_bytes() {
    assert_packet(&message(Payload::Gossip), "5248460152002bfb04686572650ad8010a3a0a0e0803108080f9c0c1c4820318ac0212125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400110291a0a08bc05100c1d0000803e20632a3e0a100807108080f9c0c1c4820318ac02200112125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001380240012a3c0a100808108080f9c0c1c4820318ac02200412125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab89674523013001400130053901000000efbeedfe8a0100");
}

#[test]
fn view_request_bytes() {
    assert_packet(
        &Packet::ViewRequest { nonce: 1 << 40, from: NodeId(9) },
        "52484601f43cd8b104686572651209088080808080201009",
    );
}

#[test]
fn view_bytes() {
    assert_packet(&view(), "52484601dca081ad04686572651adc01084d100918c0843d2108070605040302012a600a3e0a100801108080f9c0c1c4820318ac02200312125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab8967452301300138014001120a08bc05100c1d0000803e19000000000000294021000000000000e03f28012a600a3e0a100802108080f9c0c1c4820318ac02200212125b323030313a6462383a3a315d3a373934361a05302e322e30200129efcdab8967452301300138014001120a08bc05100c1d0000803e19000000000000294021000000000000f0bf280130ac0238044001");
}

#[test]
fn drain_bytes() {
    assert_packet(
        &Packet::Drain { node: NodeId(3), process: 1_700_000_000_000_000 },
        "524846018b304b1a0468657265220b0803108080f9c0c1c48203",
    );
}

#[test]
fn status_numbers_on_the_wire() {
    let statuses = [Status::Alive, Status::Suspect, Status::Left, Status::Dead, Status::Forgotten];
    let entries = statuses.iter().enumerate().map(|(id, status)| digest_entry(id as u16, *status)).collect();
    let payload = Payload::SyncDigest { from: NodeId(0), to: NodeId(4), entries };
    let sender = Member::alive(NodeId(1), 1, NodeMetadata::default());
    let (gossip, load) = (Vec::new(), Load::default());
    let message = Message {
        sender,
        sequence: 1,
        load,
        probe_number: 0,
        payload,
        gossip,
        outlier: None,
        view_digest: 0,
    };
    assert_packet(&Packet::Message(Box::new(message)), "524846019db07b5004686572650a3e0a060a040801100110011a007a3010041a04100518061a0808011005180620011a0808021005180620021a0808031005180620031a080804100518062004");
}
