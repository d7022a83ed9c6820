//! The recorded and printed names of faults must stay as they are in earlier recordings and reports.
use railhub_chaos::{Fault, FaultKind, LinkFaults};

fn assert_names(kind: FaultKind, recorded: &str, printed: &str) {
    let fault = Fault { at: 1.5, duration: 2.0, kind: kind.clone() };
    let json = serde_json::to_string(&fault).expect("a fault is serializable");
    assert_eq!(json, format!(r#"{{"at":1.5,"long":2.0,"what":{recorded}}}"#));
    assert_eq!(kind.to_string(), printed);
}

#[test]
fn faults_of_one_controller_keep_their_names() {
    let controller = 3;
    let cases = [
        (FaultKind::Kill { controller }, "kill", "Kill"),
        (FaultKind::Pause { controller }, "pause", "Pause"),
        (FaultKind::CutStore { controller }, "cut_store", "CutStore"),
        (FaultKind::Drain { controller }, "drain", "Drain"),
        (FaultKind::Flap { controller }, "flap", "Flap"),
        (FaultKind::Move { controller }, "move", "Move"),
        (FaultKind::DuplicateId { controller }, "twin", "Twin"),
        (FaultKind::Leave { controller }, "leave", "Leave"),
        (FaultKind::Join { controller }, "join", "Join"),
        (FaultKind::RestartWithLowerNumber { controller }, "backward", "Backward"),
    ];
    for (kind, recorded, printed) in cases {
        let recorded = format!(r#"{{"{recorded}":{{"steward":3}}}}"#);
        assert_names(kind, &recorded, &format!("{printed} {{ steward: 3 }}"));
    }
}

#[test]
fn faults_with_a_size_keep_their_names() {
    let controller = 3;
    let drift = FaultKind::ClockDrift { controller, fraction: -0.05 };
    assert_names(drift, r#"{"drift":{"steward":3,"by":-0.05}}"#, "Drift { steward: 3, by: -0.05 }");
    let jump = FaultKind::ClockJump { controller, seconds: 20.0 };
    assert_names(jump, r#"{"jump":{"steward":3,"by":20.0}}"#, "Jump { steward: 3, by: 20.0 }");
    let slow = FaultKind::SlowCommands { controller, max_delay: 1.0 };
    assert_names(slow, r#"{"slow_orders":{"steward":3,"by":1.0}}"#, "SlowOrders { steward: 3, by: 1.0 }");
    let starve = FaultKind::Starve { controller, running_fraction: 0.5 };
    assert_names(starve, r#"{"starve":{"steward":3,"share":0.5}}"#, "Starve { steward: 3, share: 0.5 }");
    let flood = FaultKind::Flood { controller, count: 9 };
    assert_names(flood, r#"{"flood":{"steward":3,"count":9}}"#, "Flood { steward: 3, count: 9 }");
}

#[test]
fn faults_of_links_and_of_the_store_keep_their_names() {
    let cut = FaultKind::Cut { from: 0, to: 1 };
    assert_names(cut, r#"{"cut":{"from":0,"to":1}}"#, "Cut { from: 0, to: 1 }");
    assert_names(FaultKind::Partition { side: 5 }, r#"{"split":{"side":5}}"#, "Split { side: 5 }");
    let apart = FaultKind::SeparatePair { a: 0, b: 1 };
    assert_names(apart, r#"{"apart":{"a":0,"b":1}}"#, "Apart { a: 0, b: 1 }");
    assert_names(FaultKind::Replay, r#""replay""#, "Replay");
    assert_names(FaultKind::StoreUnavailable, r#""store_away""#, "StoreAway");
    assert_names(FaultKind::StoreLosesResponses, r#""store_loses_answers""#, "StoreLosesAnswers");
    let slow = FaultKind::StoreSlow { delay: 0.5 };
    assert_names(slow, r#"{"store_slow":{"by":0.5}}"#, "StoreSlow { by: 0.5 }");
    let rollback = FaultKind::StoreRollback { age: 0.0 };
    assert_names(rollback, r#"{"store_forgets":{"by":0.0}}"#, "StoreForgets { by: 0.0 }");
    let faults = LinkFaults { loss: 0.1, duplication: 0.2, reordering: 0.3, delay: 0.0, jitter: 1e-7 };
    assert_names(
        FaultKind::Links { faults },
        r#"{"links":{"faults":{"lost":0.1,"doubled":0.2,"reordered":0.3,"delay":0.0,"jitter":1e-7}}}"#,
        "Links { faults: LinkFaults { lost: 0.1, doubled: 0.2, reordered: 0.3, delay: 0.0, jitter: 1e-7 } }",
    );
}
