use super::*;

fn handoff(state: serde_json::Value, age: f64) -> Option<(SliceHandoff, Seconds)> {
    StoredTable { handoff: Some(state), age, ..StoredTable::empty(3) }.into_acquired_slice(7).handoff
}

#[test]
fn ignores_invalid_handoffs() {
    let valid =
        serde_json::json!({ "version": 1, "rate": 12.5, "rests": 2.0, "home": "127.0.0.1:80", "new": 1 });
    assert_eq!(handoff(valid.clone(), 0.5).map(|(state, age)| (state.rate, age)), Some((12.5, 0.5)));
    let invalid = |key: &str, value: serde_json::Value| {
        let mut state = valid.clone();
        state[key] = value;
        handoff(state, 0.5)
    };
    for (key, value) in [
        ("version", serde_json::json!(2)),
        ("rate", serde_json::json!(-1.0)),
        ("rate", serde_json::json!("much")),
        ("rests", serde_json::json!(1e9)),
        ("home", serde_json::json!("")),
    ] {
        assert!(invalid(key, value.clone()).is_none(), "{key} {value}");
    }
    assert!(handoff(serde_json::json!({ "version": 1 }), 0.1).is_none(), "fields are missing");
    assert!(handoff(valid, -3.0).is_none(), "a negative age means that it was written in the future");
}

#[test]
fn reads_lease_response_by_wire_name() {
    let response = serde_json::json!({
        "says": { "number": 3, "granted": [[5, 7]], "refused": [6] },
        "tables": [],
    });
    let leased: LeasedTables =
        serde_json::from_value(response).expect("a response as stores of every version send it");
    assert_eq!((leased.response.number, leased.response.refused), (3, vec![6]));
    assert_eq!(leased.response.granted.len(), 1);
}
