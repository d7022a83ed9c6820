//! The protobuf encoding of every message, in both directions. It must not change, as peers of other versions use it.
use prost::Message;
use railhub_proto::{
    frame, from_controller, from_host, from_proxy, to_host, Ack, AdmissionRate, AttemptOutcome, Cancel,
    Deframer, Delta, FromController, FromHost, FromProxy, Goodbye, HostExclusion, HostHello, HostLoad,
    LoadReport, Nack, Operation, ProxyHello, Response, RetryCondition, SliceEpoch, SliceLoad, Subscribe,
    TableLine, ToHost, MAX_FROM_CONTROLLER_BYTES,
};
use std::fmt::Debug;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_hex(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII digits"), 16);
    digits.chunks(2).map(|pair| byte(pair).expect("two hex digits")).collect()
}

/// Asserts that the message is encoded as these bytes, given in hex, alone and in a frame, and is decoded from them.
fn assert_encoding<M: Message + Default + PartialEq + Debug>(message: &M, wire: &str) {
    let wire = parse_hex(wire);
    assert_eq!(to_hex(&message.encode_to_vec()), to_hex(&wire), "{message:?}");
    assert_eq!(&M::decode(&wire[..]).expect("decodable"), message);
    let framed = [&(wire.len() as u32).to_be_bytes()[..], &wire].concat();
    assert_eq!(to_hex(&frame(message)), to_hex(&framed));
    let mut deframer = Deframer::new(MAX_FROM_CONTROLLER_BYTES);
    deframer.push(&framed);
    assert_eq!(deframer.message::<M>().expect("a valid frame").as_ref(), Some(message));
}

fn assert_from_proxy_encoding(payload: from_proxy::Payload, wire: &str) {
    assert_encoding(&FromProxy { payload: Some(payload) }, wire);
}

fn assert_from_controller_encoding(payload: from_controller::Payload, wire: &str) {
    assert_encoding(&FromController { payload: Some(payload) }, wire);
}

fn assert_to_host_encoding(payload: to_host::Payload, wire: &str) {
    assert_encoding(&ToHost { payload: Some(payload) }, wire);
}

fn assert_from_host_encoding(payload: from_host::Payload, wire: &str) {
    assert_encoding(&FromHost { payload: Some(payload) }, wire);
}

#[test]
fn subscribe_encoding_is_stable() {
    let subscribe = Subscribe { proxy: 300, zone: 2, process: 77, incarnation: 1 << 40, version: 9 };
    assert_from_proxy_encoding(
        from_proxy::Payload::Subscribe(subscribe),
        "0a1008ac021002184d208080808080202809",
    );
}

#[test]
fn ack_and_nack_encodings_are_stable() {
    assert_from_proxy_encoding(from_proxy::Payload::Ack(Ack { nonce: 513 }), "1203088104");
    let nack = Nack { nonce: 514, reason: "line 3".into() };
    assert_from_proxy_encoding(from_proxy::Payload::Nack(nack), "1a0b08820412066c696e652033");
}

#[test]
fn load_report_encoding_is_stable() {
    let host = |utilization| HostLoad {
        host: "10.0.0.1:80".into(),
        attempts: 250,
        failed: 3,
        success_time: 20.5,
        utilization,
    };
    let slices = vec![SliceLoad { slice: 40, class: 1, operations: 1000 }];
    let report = LoadReport { span: 1.25, hosts: vec![host(Some(0.5)), host(None)], slices };
    assert_from_proxy_encoding(from_proxy::Payload::LoadReport(report), "225509000000000000f43f12240a0b31302e302e302e313a383010fa01180321000000000080344029000000000000e03f121b0a0b31302e302e302e313a383010fa0118032100000000008034401a070828100118e807");
}

#[test]
fn delta_encoding_is_stable() {
    let line = |slice, weight| TableLine { slice, host: "10.0.0.1:80".into(), weight };
    let delta = Delta {
        nonce: 1,
        incarnation: 2,
        version: 3,
        published_at: 4.5,
        reset: true,
        cleared: vec![5, 600],
        lines: vec![line(5, 1.0), line(600, 0.0)],
        admission_rates: vec![
            AdmissionRate { class: 0, rate: 0.75, retry: RetryCondition::Never.into() },
            AdmissionRate { class: 1, rate: 1.0, retry: RetryCondition::IfNotExecuted.into() },
            AdmissionRate { class: 2, rate: 0.0, retry: RetryCondition::AfterFailure.into() },
        ],
        exclusions: vec![
            HostExclusion { host: "10.0.0.2:80".into(), excluded: true },
            HostExclusion { host: "10.0.0.3:80".into(), excluded: false },
        ],
        assigned_table: Some(0),
        epochs: vec![SliceEpoch { slice: 5, epoch: 70_000 }],
    };
    assert_from_controller_encoding(from_controller::Payload::Delta(delta), "0a8c010801100218032100000000000012402801320305d8043a180805120b31302e302e302e313a383019000000000000f03f3a1008d804120b31302e302e302e313a3830420911000000000000e83f420d080111000000000000f03f18014204080218024a0f0a0b31302e302e302e323a383010014a0d0a0b31302e302e302e333a383050005a06080510f0a204");
    assert_from_controller_encoding(from_controller::Payload::Delta(Delta::default()), "0a00");
}

#[test]
fn goodbye_encoding_is_stable() {
    let goodbye = Goodbye { reason: "too many messages".into() };
    assert_from_controller_encoding(
        from_controller::Payload::Goodbye(goodbye),
        "12130a11746f6f206d616e79206d65737361676573",
    );
}

#[test]
fn encodings_of_messages_to_hosts_are_stable() {
    assert_to_host_encoding(to_host::Payload::ProxyHello(ProxyHello { proxy: 300 }), "0a0308ac02");
    let operation = Operation { attempt_id: 1, operation_id: 2, key: 3, class: 4, slice: 5, work: 0.006 };
    assert_to_host_encoding(
        to_host::Payload::Operation(operation),
        "1213080210031804200529fa7e6abc7493783f3001",
    );
    assert_to_host_encoding(to_host::Payload::Cancel(Cancel { attempt_id: 300 }), "1a0308ac02");
}

#[test]
fn encodings_of_messages_from_hosts_are_stable() {
    assert_from_host_encoding(
        from_host::Payload::Hello(HostHello { started: 12.5 }),
        "0a09090000000000002940",
    );
    let response = |outcome: AttemptOutcome, utilization| Response {
        attempt_id: 7,
        outcome: outcome.into(),
        utilization,
    };
    assert_from_host_encoding(
        from_host::Payload::Response(response(AttemptOutcome::Completed, Some(0.25))),
        "120b080719000000000000d03f",
    );
    assert_from_host_encoding(
        from_host::Payload::Response(response(AttemptOutcome::Refused, None)),
        "120408071001",
    );
    assert_from_host_encoding(
        from_host::Payload::Response(response(AttemptOutcome::Failed, None)),
        "120408071002",
    );
}

#[test]
fn empty_envelope_encodes_to_no_bytes() {
    assert_eq!(FromProxy { payload: None }.encode_to_vec(), []);
    assert_eq!(FromController::decode(&[][..]).expect("decodable"), FromController { payload: None });
    assert_eq!(ToHost { payload: None }.encode_to_vec(), []);
    assert_eq!(FromHost::decode(&[][..]).expect("decodable"), FromHost { payload: None });
}
