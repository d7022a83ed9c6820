//! The bytes of each message: encoding is compared byte for byte, decoding starts from literal bytes.
use railhub::{
    BarrierAck, BarrierId, ClassId, EndpointEntry, HostId, HostLoadReport, Idempotency, Phase, ProxyId,
    RetryPolicy, SliceId, SliceLoadReport, WeightedHost, ZoneId,
};
use railhub_platform::{
    wire, CallResponse, CollectorMessage, Command, DecodeError, EndpointPage, Names, NodeConfig,
    PendingCommands, RelayEvent,
};

fn names() -> Names {
    NodeConfig::parse(include_str!("node_config.json")).expect("a valid file").names
}

fn host(name: &str) -> HostId {
    HostId::new(name).expect("a valid name")
}

fn frame(body: &str) -> Vec<u8> {
    [&(body.len() as u32).to_be_bytes(), body.as_bytes()].concat()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

/// The bytes of the next call that carries these commands.
fn call(commands: &[Command]) -> Vec<u8> {
    let mut pending = PendingCommands::default();
    commands.iter().for_each(|command| pending.push(*command));
    pending.next_call(&["view".to_owned(), "deposit".to_owned()]).expect("a call").bytes
}

fn decode_relay_event(line: &str) -> Result<RelayEvent, DecodeError> {
    wire::relay::decode_event(line.as_bytes())
}

fn decode_response(line: &str) -> Result<CallResponse, DecodeError> {
    wire::relay::decode_response(line.as_bytes(), 8, 2)
}

fn decode_collector_message(body: &str) -> Result<CollectorMessage, DecodeError> {
    wire::collector::decode(body.as_bytes(), &names(), 40)
}

fn decode_page(line: &str) -> Result<EndpointPage, DecodeError> {
    wire::discovery::decode_page(line.as_bytes(), &names())
}

#[test]
fn encodes_each_command() {
    for (command, encoded) in [
        (
            Command::SetWeight {
                slice: SliceId(4),
                entry: WeightedHost { host: host("s-5be2a07c"), weight: 1.5 },
            },
            r#"{"op":"share","table":4,"server":"s-5be2a07c","weight":1.5}"#,
        ),
        (
            Command::SetWeight {
                slice: SliceId(65535),
                entry: WeightedHost { host: host("s-1"), weight: 0.0 },
            },
            r#"{"op":"share","table":65535,"server":"s-1","weight":0.0}"#,
        ),
        (
            Command::SetWeight {
                slice: SliceId(0),
                entry: WeightedHost { host: host("s-1"), weight: 0.0001 },
            },
            r#"{"op":"share","table":0,"server":"s-1","weight":0.0001}"#,
        ),
        (Command::Exclude(host("s-5be2a07c")), r#"{"op":"withdraw","server":"s-5be2a07c"}"#),
        (Command::Readmit(host("s-5be2a07c")), r#"{"op":"restore","server":"s-5be2a07c"}"#),
        (
            Command::SetAdmissionRate { class: ClassId(0), rate: 0.9, retry: RetryPolicy::Never },
            r#"{"op":"admit","classes":["view"],"level":0.9,"retry":0}"#,
        ),
        (
            Command::SetAdmissionRate { class: ClassId(1), rate: 1.0, retry: RetryPolicy::IfNotExecuted },
            r#"{"op":"admit","classes":["deposit"],"level":1.0,"retry":1}"#,
        ),
        (
            Command::SetAdmissionRate { class: ClassId(1), rate: 0.0, retry: RetryPolicy::AfterFailure },
            r#"{"op":"admit","classes":["deposit"],"level":0.0,"retry":2}"#,
        ),
        (Command::Barrier(BarrierId(905)), r#"{"op":"mark","ticket":905,"on":1}"#),
    ] {
        let expected = format!(
            "{}{encoded}{}",
            r#"{"jsonrpc":"2.0","id":1,"method":"commit","params":{"orders":["#, "]}}\n"
        );
        assert_eq!(text(&call(&[command])), expected);
    }
}

#[test]
fn encodes_commands_in_order_and_a_retry_under_the_next_id() {
    let mut pending = PendingCommands::default();
    pending.push(Command::SetWeight {
        slice: SliceId(4),
        entry: WeightedHost { host: host("s-1"), weight: 1.0 },
    });
    pending.push(Command::Exclude(host("s-2")));
    pending.push(Command::Barrier(BarrierId(7)));
    for id in 1..=12 {
        let call = pending.next_call(&[]).expect("a call");
        assert_eq!((call.id, call.commands), (id, 3));
        let expected = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},{}",
            concat!(
                r#""method":"commit","params":{"orders":[{"op":"share","table":4,"server":"s-1","weight":1.0},"#,
                r#"{"op":"withdraw","server":"s-2"},{"op":"mark","ticket":7,"on":1}]}}"#,
                "\n"
            )
        );
        assert_eq!(text(&call.bytes), expected);
    }
}

#[test]
fn encodes_subscribe_pong_and_refusal() {
    assert_eq!(
        text(&wire::relay::encode_subscribe(10)),
        "{\"jsonrpc\":\"2.0\",\"id\":10,\"method\":\"subscribe\"}\n"
    );
    assert_eq!(wire::collector::encode_pong(), frame(r#"{"t":"pong"}"#));
    assert_eq!(wire::collector::encode_pong()[..4], [0, 0, 0, 12]);
    for (cause, why) in [
        (DecodeError::Unreadable, "it cannot be read"),
        (DecodeError::InvalidField, "a field is missing or of another type"),
        (DecodeError::OutOfRange, "a figure is out of range"),
        (DecodeError::UnknownName, "it names what does not exist"),
        (DecodeError::UnexpectedType, "it is of a kind that is not taken here"),
    ] {
        assert_eq!(
            wire::collector::encode_refusal(cause),
            frame(&format!(r#"{{"t":"refused","why":"{why}"}}"#))
        );
    }
}

#[test]
fn decodes_each_relay_event_from_literal_bytes() {
    let slice = SliceId(88);
    for (line, event) in [
        (r#"{"jsonrpc":"2.0","id":10,"result":true}"#, RelayEvent::Subscribed),
        (r#"{"jsonrpc":"2.0","method":"ping"}"#, RelayEvent::Heartbeat),
        (
            r#"{"jsonrpc":"2.0","method":"joined","params":{"proxy":17,"zone":"a","weight":21.5,"fresh":true}}"#,
            RelayEvent::ProxyJoined { proxy: ProxyId(17), first: true },
        ),
        (r#"{"jsonrpc":"2.0","method":"left","params":{"proxy":17}}"#, RelayEvent::ProxyLeft(ProxyId(17))),
        (
            r#"{"jsonrpc":"2.0","method":"applied","params":{"proxy":17,"mark":905,"took_ms":310.4}}"#,
            RelayEvent::BarrierAcked(BarrierAck { proxy: ProxyId(17), barrier: BarrierId(905) }),
        ),
        (
            r#"{"jsonrpc":"2.0","method":"given","params":{"slice":88,"on":true}}"#,
            RelayEvent::SliceAssigned { slice, assigned: true },
        ),
        (
            r#"{"jsonrpc":"2.0","method":"given","params":{"slice":88,"on":false}}"#,
            RelayEvent::SliceAssigned { slice, assigned: false },
        ),
        (
            r#"{"jsonrpc":"2.0","method":"held","params":{"slice":88,"server":"s-5be2a07c","weight":1.0}}"#,
            RelayEvent::StoredEntry { slice, line: WeightedHost { host: host("s-5be2a07c"), weight: 1.0 } },
        ),
    ] {
        assert_eq!(decode_relay_event(line), Ok(event), "{line}");
    }
    for (line, cause) in [
        ("", DecodeError::Unreadable),
        (r#"{"jsonrpc":"2.0","id":10,"result":false}"#, DecodeError::UnexpectedType),
        (r#"{"jsonrpc":"2.0","id":10}"#, DecodeError::UnexpectedType),
        (r#"{"jsonrpc":"2.0","method":"joined"}"#, DecodeError::InvalidField),
        (r#"{"jsonrpc":"2.0","method":"moved","params":{}}"#, DecodeError::UnexpectedType),
        (r#"{"method":"held","params":{"slice":88,"server":"","weight":1.0}}"#, DecodeError::UnknownName),
    ] {
        assert_eq!(decode_relay_event(line), Err(cause), "{line}");
    }
}

#[test]
fn decodes_each_call_response_from_literal_bytes() {
    for (line, expected) in [
        (r#"{"jsonrpc":"2.0","id":8,"result":{"taken":2}}"#, Ok(CallResponse::Accepted(2))),
        (r#"{"jsonrpc":"2.0","id":8,"result":{"taken":0}}"#, Ok(CallResponse::Accepted(0))),
        (r#"{"jsonrpc":"2.0","id":8,"error":{"code":-1,"message":"limit"}}"#, Ok(CallResponse::Rejected)),
        (r#"{"jsonrpc":"2.0","id":8,"error":"malformed"}"#, Ok(CallResponse::Malformed)),
        (r#"{"jsonrpc":"2.0","id":8,"error":"limit malformed"}"#, Err(DecodeError::InvalidField)),
        (r#"{"jsonrpc":"2.0","id":8,"result":{"taken":2},"error":{}}"#, Err(DecodeError::InvalidField)),
        (r#"{"jsonrpc":"2.0","id":7,"result":{"taken":2}}"#, Err(DecodeError::UnknownName)),
        (r#"{"jsonrpc":"2.0","id":8,"result":{"taken":3}}"#, Err(DecodeError::OutOfRange)),
    ] {
        assert_eq!(decode_response(line), expected, "{line}");
    }
}

#[test]
fn decodes_each_collector_message_from_literal_bytes() {
    assert!(matches!(decode_collector_message(r#"{"t":"ping"}"#), Ok(CollectorMessage::Ping)));
    assert!(matches!(
        decode_collector_message(r#"{"t":"collector","zone":"a"}"#),
        Ok(CollectorMessage::Join(ZoneId(0)))
    ));
    let body = r#"{"t":"heard","zone":"a","server":"s-5be2a07c","tries":212,"failed":3,"mean_ms":41.5,"span_ms":1000.0,"load":{"inflight":7,"util":0.61}}"#;
    let expected = HostLoadReport {
        zone: ZoneId(0),
        host: host("s-5be2a07c"),
        attempts: 212.0,
        failed: 3.0,
        mean_latency: 0.0415,
        span: 1.0,
        cpu_utilization: Some(0.61),
    };
    let without_load = HostLoadReport { cpu_utilization: None, ..expected.clone() };
    for (body, expected) in [
        (body.to_owned(), expected.clone()),
        (body.replace("inflight", "rif").replace("util", "busy"), expected.clone()),
        (body.replace(r#","load":{"inflight":7,"util":0.61}"#, ""), without_load),
    ] {
        let Ok(CollectorMessage::HostLoad(report)) = decode_collector_message(&body) else {
            panic!("{body}")
        };
        assert_eq!(format!("{report:?}"), format!("{expected:?}"), "{body}");
    }
    let body = r#"{"t":"heat","slice":38,"class":"view","tries":40,"failed":1,"span_ms":1000.0}"#;
    let Ok(CollectorMessage::SliceLoad(report)) = decode_collector_message(body) else { panic!("{body}") };
    let expected = SliceLoadReport { slice: SliceId(38), class: ClassId(0), operations: 40.0, span: 1.0 };
    assert_eq!(format!("{report:?}"), format!("{expected:?}"));
}

#[test]
fn decodes_a_discovery_page_from_literal_bytes() {
    let list = decode_page(concat!(
        r#"{"generation":41,"reset":true,"instances":["#,
        r#"{"instanceId":"s-1","hostPort":"10.1.0.18:7070","zone":"a","machineType":"m","cell":3,"lifecycle":"ready","weight":1.0,"startedAtMs":0},"#,
        r#"{"instanceId":"s-2","hostPort":"10.1.0.19:7070","zone":"a","machineType":"m2","cell":3,"lifecycle":"draining","weight":2.5,"startedAtMs":1700000000250},"#,
        r#"{"instanceId":"s-3","hostPort":"10.1.0.20:7070","lifecycle":"gone","weight":0}]}"#,
    ))
    .expect("a page");
    let expected = [
        ("s-1", Phase::Ready, None, 1.0, "m"),
        ("s-2", Phase::Draining, Some(1_700_000_000.25), 2.5, "m2"),
        ("s-3", Phase::Gone, None, 0.0, ""),
    ]
    .map(|(name, phase, started_at, weight, kind)| EndpointEntry {
        host: host(name),
        phase,
        started_at,
        weight,
        kind: names().kind(kind),
    });
    assert_eq!(format!("{:?}", list.list().entries), format!("{expected:?}"));
    assert!(list.list().complete && list.generation == 41);
    let addresses: Vec<String> = list.entries.iter().map(|entry| entry.address.to_string()).collect();
    assert_eq!(addresses, ["10.1.0.18:7070", "10.1.0.19:7070", "10.1.0.20:7070"]);
    let changes = decode_page(r#"{"generation":43,"reset":false,"instances":[]}"#).expect("a page");
    assert!(!changes.list().complete && changes.generation == 43 && changes.entries.is_empty());
}

#[test]
fn decodes_the_configuration_from_literal_bytes() {
    let config = NodeConfig::parse(include_str!("node_config.json")).expect("a valid file");
    assert_eq!(
        [config.listen, config.discovery, config.relay].map(|address| address.to_string()),
        ["127.0.0.1:7070", "127.0.0.1:8500", "127.0.0.1:6400"]
    );
    assert_eq!(
        (
            config.descriptor_limit,
            config.memory_limit_mb,
            config.min_batch_interval,
            config.known_endpoints.generation
        ),
        (256, 32, 0.001, 41)
    );
    assert_eq!(config.names.classes, ["view", "deposit"]);
    assert_eq!(
        (config.names.zones, config.names.kinds),
        (vec!["a".into(), "b".into()], vec!["m".to_owned()])
    );
    let controller = config.controller;
    assert_eq!(
        (controller.slice_count, controller.single_owner, controller.health_checks_allowed),
        (40, false, true)
    );
    assert_eq!(
        (controller.admission_by_fraction, controller.cold_capacity_fraction, controller.warm_up_time),
        (true, 0.16, 18.0)
    );
    assert_eq!(
        (controller.overload_multiple, controller.backlog_limit, controller.message_overhead),
        (2.5, 900.5, 12.0)
    );
    assert_eq!(
        (
            controller.message_quota,
            controller.message_quota_window,
            controller.first_attempt_timeout_multiple
        ),
        (20, 10.0, 1.2)
    );
    assert_eq!(
        (controller.write_lease, controller.max_write_duration, controller.delisted_may_serve),
        (0.0, 0.0, false)
    );
    let classes: Vec<_> = controller
        .classes
        .iter()
        .map(|class| (class.contract_time, class.priority_weight, class.idempotency))
        .collect();
    assert_eq!(classes, [(0.8, 1.0, Idempotency::Safe), (1.2, 2.0, Idempotency::Never)]);
}

#[test]
fn request_paths_of_discovery_and_health_checks() {
    assert_eq!(wire::discovery::watch_path(41), "/discovery/hosts?watch=1&after=41");
    assert_eq!((wire::hosts::HEALTH_CHECK_PATH, wire::hosts::NOT_SERVING_STATUS), ("/alive", 503));
}
