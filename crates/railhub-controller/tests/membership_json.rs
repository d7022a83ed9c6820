//! The JSON forms of the membership and lease types, as literals. The store, scripts and other builds read them, so
//! they must not change when names in the code change.
use railhub_membership::lease_messages::{LeaseRequest, LeaseResponse};
use railhub_membership::lease_store::StoreFaults;
use railhub_membership::member::{Incarnation, Load, Member, NodeMetadata, Status};
use railhub_membership::messages::{DigestEntry, Message, Payload};
use railhub_membership::packet::{DecodeError, DroppedDatagrams};
use railhub_membership::{Epoch, NodeId};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

fn entry(id: u16, status: Status, reported_by: Option<u16>) -> Member {
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

fn digest_entry(id: u16, status: Status) -> DigestEntry {
    DigestEntry { id: NodeId(id), incarnation: Incarnation { process: 5, count: 6 }, status }
}

#[track_caller]
fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, json: &str) {
    assert_eq!(serde_json::to_string(value).expect("the value can be serialized"), json);
    assert_eq!(&serde_json::from_str::<T>(json).expect("the JSON can be deserialized"), value);
}

#[test]
fn lease_request_json() {
    let request = LeaseRequest {
        number: 7,
        process: 1_700_000_000_000_000,
        duration: 3.0,
        acquire: vec![1, 2],
        renew: vec![(3, Epoch(4))],
        release: vec![(5, Epoch(6))],
    };
    assert_json(
        &request,
        r#"{"number":7,"process":1700000000000000,"span":3.0,"take":[1,2],"renew":[[3,4]],"release":[[5,6]]}"#,
    );
}

#[test]
fn lease_response_json() {
    let response = LeaseResponse { number: 7, granted: vec![(1, Epoch(1_048_576))], refused: vec![2, 3] };
    assert_json(&response, r#"{"number":7,"granted":[[1,1048576]],"refused":[2,3]}"#);
}

#[test]
fn store_faults_json() {
    let faults = StoreFaults { reuses_epochs: true, skips_write_check: false, skips_grace_period: true };
    assert_json(&faults, r#"{"reuses_epochs":true,"writes_unchecked":false,"not_quiet":true}"#);
}

#[test]
fn status_json() {
    let all = vec![Status::Alive, Status::Suspect, Status::Left, Status::Dead, Status::Forgotten];
    assert_json(&all, r#"["alive","suspect","left","dead","forgotten"]"#);
}

#[test]
fn member_json() {
    assert_json(
        &entry(3, Status::Suspect, Some(2)),
        r#"{"about":3,"life":{"process":1700000000000000,"count":300},"standing":"suspect","card":{"address":"[2001:db8::1]:7946","program":"0.2.0","protocol":1,"settings":81985529216486895,"drains":true,"no_store":true},"by":2}"#,
    );
    assert_json(&load(), r#"{"slices":700,"proxies":12,"busy":0.25}"#);
    assert_json(
        &digest_entry(4, Status::Dead),
        r#"{"about":4,"life":{"process":5,"count":6},"standing":"dead"}"#,
    );
}

#[test]
fn message_json() {
    let requests = vec![
        Payload::Probe,
        Payload::IndirectProbe(NodeId(1)),
        Payload::Ack,
        Payload::IndirectAck(NodeId(2)),
        Payload::Nack(NodeId(3)),
        Payload::SyncDigest { from: NodeId(1), to: NodeId(2), entries: vec![digest_entry(1, Status::Alive)] },
        Payload::SyncRequest(vec![NodeId(4)]),
        Payload::Gossip,
    ];
    assert_json(
        &requests,
        r#"["Probe",{"ProbeFor":1},"Answer",{"AnswerOf":2},{"NoAnswerOf":3},{"Compare":{"from":1,"to":2,"lines":[{"about":1,"life":{"process":5,"count":6},"standing":"alive"}]}},{"Want":[4]},"Tell"]"#,
    );
    let message = Message {
        sender: entry(3, Status::Alive, None),
        sequence: 41,
        load: load(),
        probe_number: 99,
        payload: Payload::Gossip,
        gossip: vec![entry(7, Status::Dead, Some(2))],
        outlier: Some(NodeId(5)),
        view_digest: 0xfeed_beef,
    };
    assert_json(
        &message,
        r#"{"from":{"about":3,"life":{"process":1700000000000000,"count":300},"standing":"alive","card":{"address":"[2001:db8::1]:7946","program":"0.2.0","protocol":1,"settings":81985529216486895,"drains":true,"no_store":true},"by":null},"turn":41,"load":{"slices":700,"proxies":12,"busy":0.25},"number":99,"ask":"Tell","news":[{"about":7,"life":{"process":1700000000000000,"count":300},"standing":"dead","card":{"address":"[2001:db8::1]:7946","program":"0.2.0","protocol":1,"settings":81985529216486895,"drains":true,"no_store":true},"by":2}],"names":5,"digest":4276993775}"#,
    );
}

#[test]
fn dropped_datagrams_json() {
    let mut dropped = DroppedDatagrams::default();
    let all = [
        DecodeError::Oversized,
        DecodeError::Corrupt,
        DecodeError::UnsupportedVersion,
        DecodeError::ForeignInstallation,
        DecodeError::Malformed,
    ];
    for (count, cause) in all.into_iter().enumerate() {
        (0..=count).for_each(|_| dropped.count(cause));
    }
    assert_eq!(
        serde_json::to_string(&dropped).expect("the value can be serialized"),
        r#"{"oversized":1,"spoilt":2,"version":3,"foreign":4,"malformed":5}"#
    );
}
