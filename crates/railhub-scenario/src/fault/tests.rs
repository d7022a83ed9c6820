use super::*;

#[test]
fn recorded_notes_keep_the_names_of_the_recorded_format() {
    let isolated = FaultKind::ControllerIsolated {
        controller: 2,
        peers: vec!["store".into(), "list".into()],
        direction: CutDirection::Inbound,
    };
    let phantom = FaultKind::PhantomHosts {
        hosts: 2,
        behaviors: vec![PhantomBehavior::Refuse, PhantomBehavior::Silent],
    };
    let expected = [
        (isolated, r#"StewardCut { steward: 2, from: ["store", "list"], way: In }"#),
        (phantom, "Ghosts { hosts: 2, kinds: [Refuse, Silent] }"),
        (FaultKind::ControllerKilled { controller: 1 }, "StewardKilled { steward: 1 }"),
        (FaultKind::ControllerPartition { side: vec![0, 2] }, "StewardsSplit { side: [0, 2] }"),
        (FaultKind::Slow { hosts: 2, factor: 2.0 }, "Slow { hosts: 2, times: 2.0 }"),
        (FaultKind::StoreUnavailable, "StoreAway"),
    ];
    for (kind, note) in expected {
        assert_eq!(kind.recorded_note(), note);
    }
}
