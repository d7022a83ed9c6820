//! The protobuf bytes of every message, both ways: what peers of any version write and read.
use prost::Message;
use railhub_proto::{
    frame, from_controller, from_host, from_proxy, to_host, Ack, AdmissionRate, AttemptOutcome, Cancel,
    Deframer, Delta, FromController, FromHost, FromProxy, Goodbye, HostExclusion, HostHello, HostLoad,
    LoadReport, Nack, Operation, ProxyHello, Response, RetryCondition, SliceEpoch, SliceLoad, Subscribe,
    TableLine, ToHost, MAX_FROM_CONTROLLER_BYTES,
};
use std::fmt::Debug;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("digits"), 16);
    digits.chunks(2).map(|pair| byte(pair).expect("a pair of digits")).collect()
}

/// The message is written as these bytes, alone and in a frame, and these bytes are read as the message.
fn same_on_the_wire<M: Message + Default + PartialEq + Debug>(message: &M, wire: &str) {
    let wire = bytes(wire);
    assert_eq!(hex(&message.encode_to_vec()), hex(&wire), "{message:?}");
    assert_eq!(&M::decode(&wire[..]).expect("readable"), message);
    let framed = [&(wire.len() as u32).to_be_bytes()[..], &wire].concat();
    assert_eq!(hex(&frame(message)), hex(&framed));
    let mut deframer = Deframer::new(MAX_FROM_CONTROLLER_BYTES);
    deframer.push(&framed);
    assert_eq!(deframer.message::<M>().expect("a good frame").as_ref(), Some(message));
}

fn from_a_proxy(payload: from_proxy::Payload, wire: &str) {
    same_on_the_wire(&FromProxy { payload: Some(payload) }, wire);
}

fn from_a_controller(payload: from_controller::Payload, wire: &str) {
    same_on_the_wire(&FromController { payload: Some(payload) }, wire);
}

fn to_a_host(payload: to_host::Payload, wire: &str) {
    same_on_the_wire(&ToHost { payload: Some(payload) }, wire);
}

fn from_a_host(payload: from_host::Payload, wire: &str) {
    same_on_the_wire(&FromHost { payload: Some(payload) }, wire);
}

#[test]
fn a_subscription_keeps_its_bytes() {
    let subscribe = Subscribe { proxy: 300, zone: 2, process: 77, incarnation: 1 << 40, version: 9 };
    from_a_proxy(from_proxy::Payload::Subscribe(subscribe), "0a1008ac021002184d208080808080202809");
}

#[test]
fn an_acknowledgement_and_a_refusal_keep_their_bytes() {
    from_a_proxy(from_proxy::Payload::Ack(Ack { nonce: 513 }), "1203088104");
    let nack = Nack { nonce: 514, reason: "line 3".into() };
    from_a_proxy(from_proxy::Payload::Nack(nack), "1a0b08820412066c696e652033");
}

#[test]
fn a_load_report_keeps_its_bytes() {
    let host = |busy| HostLoad {
        host: "10.0.0.1:80".into(),
        attempts: 250,
        failed: 3,
        success_time: 20.5,
        utilization: busy,
    };
    let demand = vec![SliceLoad { slice: 40, class: 1, operations: 1000 }];
    let report = LoadReport { span: 1.25, hosts: vec![host(Some(0.5)), host(None)], slices: demand };
    from_a_proxy(from_proxy::Payload::LoadReport(report), "225509000000000000f43f12240a0b31302e302e302e313a383010fa01180321000000000080344029000000000000e03f121b0a0b31302e302e302e313a383010fa0118032100000000008034401a070828100118e807");
}

#[test]
fn a_delta_keeps_its_bytes() {
    let line = |slice, weight| TableLine { slice, host: "10.0.0.1:80".into(), weight };
    let delta = Delta {
        nonce: 1,
        incarnation: 2,
        version: 3,
        ordered_at: 4.5,
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
    from_a_controller(from_controller::Payload::Delta(delta), "0a8c010801100218032100000000000012402801320305d8043a180805120b31302e302e302e313a383019000000000000f03f3a1008d804120b31302e302e302e313a3830420911000000000000e83f420d080111000000000000f03f18014204080218024a0f0a0b31302e302e302e323a383010014a0d0a0b31302e302e302e333a383050005a06080510f0a204");
    from_a_controller(from_controller::Payload::Delta(Delta::default()), "0a00");
}

#[test]
fn a_goodbye_keeps_its_bytes() {
    let goodbye = Goodbye { reason: "too many messages".into() };
    from_a_controller(
        from_controller::Payload::Goodbye(goodbye),
        "12130a11746f6f206d616e79206d65737361676573",
    );
}

#[test]
fn what_a_host_is_sent_keeps_its_bytes() {
    to_a_host(to_host::Payload::ProxyHello(ProxyHello { proxy: 300 }), "0a0308ac02");
    let operation = Operation { attempt_id: 1, operation_id: 2, key: 3, class: 4, slice: 5, work: 0.006 };
    to_a_host(to_host::Payload::Operation(operation), "1213080210031804200529fa7e6abc7493783f3001");
    to_a_host(to_host::Payload::Cancel(Cancel { attempt_id: 300 }), "1a0308ac02");
}

#[test]
fn what_a_host_sends_keeps_its_bytes() {
    from_a_host(from_host::Payload::Hello(HostHello { started: 12.5 }), "0a09090000000000002940");
    let answer =
        |ending: AttemptOutcome, busy| Response { attempt_id: 7, outcome: ending.into(), utilization: busy };
    from_a_host(
        from_host::Payload::Response(answer(AttemptOutcome::Completed, Some(0.25))),
        "120b080719000000000000d03f",
    );
    from_a_host(from_host::Payload::Response(answer(AttemptOutcome::Refused, None)), "120408071001");
    from_a_host(from_host::Payload::Response(answer(AttemptOutcome::Failed, None)), "120408071002");
}

#[test]
fn an_empty_envelope_has_no_bytes() {
    assert_eq!(FromProxy { payload: None }.encode_to_vec(), []);
    assert_eq!(FromController::decode(&[][..]).expect("readable"), FromController { payload: None });
    assert_eq!(ToHost { payload: None }.encode_to_vec(), []);
    assert_eq!(FromHost::decode(&[][..]).expect("readable"), FromHost { payload: None });
}
