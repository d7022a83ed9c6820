//! Each decoder with valid input, with several kinds of invalid input, and with damaged bytes.
use railhub::{BarrierId, ClassId, HostId, Idempotency, Phase, ProxyId, SliceId, WeightedHost, ZoneId};
use railhub_platform::{wire, CallResponse, CollectorMessage, DecodeError, Names, NodeConfig, RelayEvent};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CONFIG_JSON: &str = include_str!("node_config.json");

fn names() -> Names {
    NodeConfig::parse(CONFIG_JSON).expect("a valid file").names
}

fn decode_collector_message(text: &str) -> Result<CollectorMessage, DecodeError> {
    wire::collector::decode(text.as_bytes(), &names(), 40)
}

#[test]
fn decodes_a_configuration_and_its_initial_list() {
    let config = NodeConfig::parse(CONFIG_JSON).expect("a valid file");
    assert_eq!((config.name.as_str(), config.descriptor_limit, config.memory_limit_mb), ("n0", 256, 32));
    assert_eq!(config.relay.to_string(), "127.0.0.1:6400");
    assert_eq!(
        (
            config.controller.slice_count,
            config.controller.warm_up_time,
            config.controller.health_checks_allowed
        ),
        (40, 18.0, true)
    );
    assert_eq!(config.controller.classes[1].idempotency, Idempotency::Never);
    let list = config.initial_list();
    assert!(list.complete && config.known_endpoints.generation == 41);
    assert_eq!(list.entries[0].host, HostId::new("s-1").expect("a name"));
    assert_eq!((list.entries[0].started_at, list.entries[1].started_at), (None, Some(1_700_000_000.25)));
}

#[test]
fn configuration_errors_name_the_field() {
    let error = |from: &str, to: &str| {
        assert!(CONFIG_JSON.contains(from), "{from}");
        NodeConfig::parse(&CONFIG_JSON.replace(from, to)).expect_err("an invalid file").to_string()
    };
    let wrong_type = error("\"127.0.0.1:6400\"", "17");
    assert!(wrong_type.starts_with("registry.address: "), "{wrong_type}");
    let unknown_effect = error("\"effect\": \"once\"", "\"effect\": \"often\"");
    assert_eq!(
        unknown_effect,
        "settings.request_classes[1].effect: expected repeatable, by_key or once, got 'often'"
    );
    assert!(error("\"backlog\": 900.5", "\"backlog\": -1").starts_with("settings.family_info.backlog: "));
    let missing_duration = error("\"exclusive\": false", "\"exclusive\": true");
    assert_eq!(
        missing_duration,
        "settings.family_info.write_lease_us: required if settings.family_info.exclusive is true"
    );
    assert!(NodeConfig::parse(&CONFIG_JSON[..CONFIG_JSON.len() / 2]).is_err());
}

#[test]
fn skips_an_invalid_entry_of_the_known_list_and_removes_no_host() {
    for (from, to) in
        [("127.0.0.2:7070", "nowhere"), ("\"weight\": 2.0", "\"weight\": \"two\""), ("\"weight\": 2.0,", "")]
    {
        assert!(CONFIG_JSON.contains(from), "{from}");
        let config = NodeConfig::parse(&CONFIG_JSON.replace(from, to)).expect("a valid file");
        assert_eq!(
            (
                config.known_endpoints.invalid.len(),
                config.known_endpoints.entries.len(),
                config.known_endpoints.complete
            ),
            (1, 1, false)
        );
        // Generation 0 requests the complete list, which is then accepted with any generation.
        assert_eq!(railhub_platform::PlatformController::new(&config).generation(), 0);
    }
    let empty = CONFIG_JSON.replace("\"instances\": [", "\"instances\": [], \"old\": [");
    assert_eq!(NodeConfig::parse(&empty).expect("a valid file").known_endpoints.entries.len(), 0);
}

#[test]
fn decodes_collector_messages() {
    assert!(matches!(decode_collector_message(r#"{"t":"ping"}"#), Ok(CollectorMessage::Ping)));
    assert!(matches!(
        decode_collector_message(r#"{"t":"collector","zone":"b"}"#),
        Ok(CollectorMessage::Join(ZoneId(1)))
    ));
    let host_report = r#"{"t":"heard","zone":"a","server":"s-1","tries":212,"failed":3,"mean_ms":41.5,
        "span_ms":1000.0,"load":{"inflight":7,"util":0.61},"new":[[{}]]}"#;
    let Ok(CollectorMessage::HostLoad(report)) = decode_collector_message(host_report) else {
        panic!("a report")
    };
    assert_eq!((report.attempts, report.failed, report.mean_latency, report.span), (212.0, 3.0, 0.0415, 1.0));
    assert_eq!((report.zone, report.cpu_utilization), (ZoneId(0), Some(0.61)));
    // Alternative names of the same fields, from another customer's settings.
    let renamed = host_report.replace("inflight", "rif").replace("util", "busy");
    let decoded = decode_collector_message(&renamed);
    assert!(
        matches!(decoded, Ok(CollectorMessage::HostLoad(report)) if report.cpu_utilization == Some(0.61))
    );
    assert!(decode_collector_message(&renamed.replace("0.61", "61")).is_err(), "utilization out of range");
    // An operation may fail in a later reporting period than the one in which it arrived.
    let slice_report = r#"{"t":"heat","slice":30,"class":"deposit","tries":0,"failed":1,"span_ms":500}"#;
    let Ok(CollectorMessage::SliceLoad(report)) = decode_collector_message(slice_report) else {
        panic!("a report")
    };
    assert_eq!(
        (report.slice, report.class, report.operations, report.span),
        (SliceId(30), ClassId(1), 0.0, 0.5)
    );
}

#[test]
fn distinguishes_invalid_reports_from_unreadable_streams() {
    let host_report = |field: &str, value: &str| {
        let fields = [
            ("zone", "\"a\""),
            ("server", "\"s-1\""),
            ("tries", "10"),
            ("failed", "1"),
            ("mean_ms", "9"),
            ("span_ms", "1000"),
        ];
        let fields_text = fields.map(|(name, valid)| {
            let value = if name == field { value } else { valid };
            format!("\"{name}\":{value}")
        });
        decode_collector_message(&format!("{{\"t\":\"heard\",{}}}", fields_text.join(","))).map(drop)
    };
    assert_eq!(host_report("none", ""), Ok(()));
    for (field, value, error) in [
        ("zone", "\"z\"", DecodeError::UnknownName),
        ("server", "\"\"", DecodeError::UnknownName),
        ("tries", "-1", DecodeError::OutOfRange),
        ("tries", "\"10\"", DecodeError::InvalidField),
        ("tries", "null", DecodeError::InvalidField),
        ("failed", "11", DecodeError::OutOfRange),
        ("mean_ms", "1e300", DecodeError::OutOfRange),
        ("span_ms", "0", DecodeError::OutOfRange),
        ("span_ms", "1e9", DecodeError::OutOfRange),
        ("span_ms", "[]", DecodeError::InvalidField),
    ] {
        assert_eq!(host_report(field, value), Err(error), "{field} {value}");
    }
    let error = |text: &str| decode_collector_message(text).map(drop).expect_err("invalid");
    assert_eq!(error(r#"{"zone":"a"}"#), DecodeError::InvalidField);
    assert_eq!(error(r#"{"t":7}"#), DecodeError::InvalidField);
    assert_eq!(error(r#"{"t":"joined","proxy":1}"#), DecodeError::UnexpectedType);
    assert_eq!(error(r#"{"t":"collector","zone":"x"}"#), DecodeError::UnknownName);
    assert_eq!(
        error(r#"{"t":"heat","slice":40,"class":"deposit","tries":1,"failed":0,"span_ms":1}"#),
        DecodeError::UnknownName
    );
    assert_eq!(error(r#"{"t":"heard","zone":"#), DecodeError::Unreadable);
    assert_eq!(error("GET / HTTP/1.1"), DecodeError::Unreadable);
    let deep = format!("{{\"t\":\"ping\",\"x\":{}", "[".repeat(900_000));
    assert_eq!(error(&deep), DecodeError::Unreadable);
}

#[test]
fn decodes_relay_events() {
    let decode = |text: &str| wire::relay::decode_event(text.as_bytes());
    let notification = |method: &str, params: &str| {
        decode(&format!("{{\"jsonrpc\":\"2.0\",\"method\":\"{method}\",\"params\":{params}}}"))
    };
    assert_eq!(decode(r#"{"jsonrpc":"2.0","id":10,"result":true}"#), Ok(RelayEvent::Subscribed));
    assert_eq!(decode(r#"{"jsonrpc":"2.0","method":"ping"}"#), Ok(RelayEvent::Heartbeat));
    let joined = notification("joined", r#"{"proxy":17,"zone":"a","weight":21.5,"fresh":true}"#);
    assert_eq!(joined, Ok(RelayEvent::ProxyJoined { proxy: ProxyId(17), first: true }));
    let Ok(RelayEvent::BarrierAcked(applied)) =
        notification("applied", r#"{"proxy":17,"mark":905,"took_ms":310.4}"#)
    else {
        panic!("an acknowledgement of a barrier")
    };
    assert_eq!((applied.proxy, applied.barrier), (ProxyId(17), BarrierId(905)));
    let stored = notification("held", r#"{"slice":88,"server":"s-1","weight":1.0}"#);
    assert_eq!(
        stored,
        Ok(RelayEvent::StoredEntry {
            slice: SliceId(88),
            line: WeightedHost { host: HostId::new("s-1").expect("a name"), weight: 1.0 }
        })
    );
    assert_eq!(
        notification("held", r#"{"slice":88,"server":"s-1","weight":-1.0}"#),
        Err(DecodeError::OutOfRange)
    );
    assert_eq!(notification("given", r#"{"slice":70000,"on":true}"#), Err(DecodeError::InvalidField));
    assert_eq!(notification("heard", "{}"), Err(DecodeError::UnexpectedType));
}

#[test]
fn accepts_only_a_valid_response_to_the_given_call() {
    let decode = |text: &str| wire::relay::decode_response(text.as_bytes(), 8, 2);
    assert_eq!(decode(r#"{"jsonrpc":"2.0","id":8,"result":{"taken":2}}"#), Ok(CallResponse::Accepted(2)));
    assert_eq!(decode(r#"{"id":8,"error":{"code":1,"message":"limit"}}"#), Ok(CallResponse::Rejected));
    assert_eq!(decode(r#"{"id":8,"error":{"message":"malformed"}}"#), Ok(CallResponse::Malformed));
    for invalid in [
        r#"{"id":9,"result":{"taken":2}}"#,
        r#"{"id":8,"result":{"taken":3}}"#,
        r#"{"id":8,"result":{"taken":-1}}"#,
        r#"{"id":8,"result":{"taken":"2"}}"#,
        r#"{"id":8,"result":{}}"#,
        r#"{"id":8}"#,
        r#"{"id":8,"error":{"message":"what"}}"#,
        r#"{"id":8,"result":{"taken":2}"#,
    ] {
        assert!(decode(invalid).is_err(), "{invalid}");
    }
}

#[test]
fn complete_list_with_an_invalid_entry_removes_no_host() {
    let page = r#"{"generation":43,"reset":true,"instances":[
        {"instanceId":"s-1","hostPort":"127.0.0.1:7070","lifecycle":"draining","weight":1.0},
        {"instanceId":"s-2","hostPort":"127.0.0.2:7070","lifecycle":"ready","weight":"heavy"}]}"#;
    let decode = |text: &str| wire::discovery::decode_page(text.as_bytes(), &names());
    for (weight, error) in [("\"heavy\"", DecodeError::InvalidField), ("-1", DecodeError::OutOfRange)] {
        let page = decode(&page.replace("\"heavy\"", weight)).expect("a page");
        assert_eq!((page.complete, page.entries.len(), page.invalid.as_slice()), (false, 1, &[error][..]));
        assert_eq!(page.entries[0].endpoint.phase, Phase::Draining);
    }
    assert_eq!(decode(&page.replace("true", "9")).map(drop), Err(DecodeError::InvalidField));
    assert_eq!(decode("{\"generation\":43,").map(drop), Err(DecodeError::Unreadable));
}

/// Replaces, truncates, inserts or duplicates bytes at random positions.
fn damage(valid: &[u8], rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for _ in 0..rng.random_range(1..6) {
        let position = rng.random_range(0..bytes.len().max(1));
        match rng.random_range(0..4) {
            0 if position < bytes.len() => bytes[position] = rng.random(),
            1 => bytes.truncate(position),
            2 => bytes.insert(position.min(bytes.len()), b"{}[]\",:0-e.\\\n"[rng.random_range(0..13)]),
            _ => {
                let tail: Vec<u8> = bytes.iter().skip(position).take(40).copied().collect();
                bytes.extend(tail);
            }
        }
    }
    bytes
}

/// Decodes damaged copies of a valid message. A decoder may reject any of them, but must neither panic nor return
/// impossible values. `decode` returns whether the bytes were accepted; it must accept some copies, not all, and the
/// valid message.
fn check_damaged(valid: &str, seed: u64, mut decode: impl FnMut(&[u8]) -> bool) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let accepted = (0..100_000).filter(|_| decode(&damage(valid.as_bytes(), &mut rng))).count();
    assert!(
        (1..100_000).contains(&accepted),
        "{accepted} of 100000 damaged copies were accepted: the damage has no effect or is too strong"
    );
    assert!(decode(valid.as_bytes()));
}

#[test]
fn damaged_bytes_never_decode_to_impossible_values() {
    let names = names();
    let is_non_negative = |number: f64| number.is_finite() && number >= 0.0;
    let host_report =
        r#"{"t":"heard","zone":"a","server":"s-1","tries":12,"failed":3,"mean_ms":4.5,"span_ms":1000.0}"#;
    check_damaged(host_report, 1, |bytes| match wire::collector::decode(bytes, &names, 40) {
        Ok(CollectorMessage::HostLoad(report)) => {
            assert!(
                is_non_negative(report.attempts)
                    && report.failed <= report.attempts
                    && is_non_negative(report.mean_latency)
                    && report.span > 0.0
            );
            true
        }
        result => result.is_ok(),
    });
    let slice_report = r#"{"t":"heat","slice":8,"class":"deposit","tries":40,"failed":1,"span_ms":1000.0}"#;
    check_damaged(slice_report, 2, |bytes| match wire::collector::decode(bytes, &names, 40) {
        Ok(CollectorMessage::SliceLoad(report)) => {
            assert!(
                report.slice.0 < 40
                    && report.class.0 < 2
                    && is_non_negative(report.operations)
                    && report.span > 0.0
            );
            true
        }
        result => result.is_ok(),
    });
    let stored = r#"{"jsonrpc":"2.0","method":"held","params":{"slice":88,"server":"s-1","weight":1.0}}"#;
    check_damaged(stored, 3, |bytes| match wire::relay::decode_event(bytes) {
        Ok(RelayEvent::StoredEntry { line, .. }) => is_non_negative(line.weight),
        result => result.is_ok(),
    });
    let response = r#"{"jsonrpc":"2.0","id":8,"result":{"taken":2}}"#;
    check_damaged(response, 4, |bytes| match wire::relay::decode_response(bytes, 8, 2) {
        Ok(CallResponse::Accepted(accepted)) => accepted <= 2,
        result => result.is_ok(),
    });
    let page = r#"{"generation":43,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:7070",
        "lifecycle":"draining","weight":1.0,"startedAtMs":5}]}"#;
    check_damaged(page, 5, |bytes| {
        wire::discovery::decode_page(bytes, &names)
            .is_ok_and(|page| page.entries.iter().all(|entry| is_non_negative(entry.endpoint.weight)))
    });
    check_damaged(CONFIG_JSON, 6, |bytes| {
        std::str::from_utf8(bytes).is_ok_and(|text| NodeConfig::parse(text).is_ok())
    });
}
