use super::*;
use proptest::prelude::*;

pub fn host(number: u16) -> HostId {
    HostId::new(&format!("127.0.0.1:{}", 8000 + number)).expect("valid host name")
}

fn change(lines: &[(u16, u16, u8)], cleared: &[u16]) -> Change {
    Change {
        cleared: cleared.iter().map(|slice| SliceId(*slice)).collect(),
        lines: (lines.iter())
            .map(|(slice, number, weight)| ((SliceId(*slice), host(*number)), f64::from(*weight)))
            .collect(),
        ..Change::default()
    }
}

/// Applies a change as a proxy does.
fn apply_as_proxy(held: &mut BTreeMap<(SliceId, HostId), f64>, change: &Change) {
    held.retain(|(slice, _), _| !change.cleared.contains(slice));
    for (key, weight) in &change.lines {
        if *weight > 0.0 {
            held.insert(*key, *weight);
        } else {
            held.remove(key);
        }
    }
}

/// Lines of a change (slice, host, weight) and its cleared slices.
type Step = (Vec<(u16, u16, u8)>, Vec<u16>);

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let lines = proptest::collection::vec((0..4u16, 0..4u16, 0..3u8), 0..6);
    proptest::collection::vec((lines, proptest::collection::vec(0..4u16, 0..2)), 1..20)
}

proptest! {
    #[test]
    fn snapshot_changes_since_and_single_changes_agree(steps in steps(), disconnect_step in 0..20usize) {
        let mut tables = Tables::default();
        let (mut connected, mut reconnected) = (BTreeMap::new(), BTreeMap::new());
        let mut version_at_disconnect = 0;
        for (step, (lines, cleared)) in steps.iter().enumerate() {
            let change = change(lines, cleared);
            tables.apply(Arc::new(change.clone()));
            apply_as_proxy(&mut connected, &change);
            if step <= disconnect_step {
                apply_as_proxy(&mut reconnected, &change);
                version_at_disconnect = tables.version;
            }
        }
        let mut joined = BTreeMap::from([((SliceId(9), host(1)), 1.0)]);
        apply_as_proxy(&mut joined, &tables.snapshot());
        joined.remove(&(SliceId(9), host(1)));
        prop_assert_eq!(&joined, &connected);
        apply_as_proxy(&mut reconnected, &tables.changes_since(version_at_disconnect).expect("in the log"));
        prop_assert_eq!(&reconnected, &connected);
    }

    #[test]
    fn resent_change_does_not_undo_later_ones(steps in steps()) {
        // The first change was rejected and all others were applied; then it is sent again without the values that
        // they supersede.
        let mut rejected = change(&steps[0].0, &steps[0].1);
        rejected.cleared.clear();
        let mut held = BTreeMap::new();
        let mut expected = BTreeMap::new();
        apply_as_proxy(&mut expected, &rejected);
        for (lines, _) in &steps[1..] {
            let later = change(lines, &[]);
            rejected.remove_superseded(&later);
            apply_as_proxy(&mut held, &later);
            apply_as_proxy(&mut expected, &later);
        }
        apply_as_proxy(&mut held, &rejected);
        prop_assert_eq!(held, expected);
    }
}

#[test]
fn changes_since_a_too_old_or_future_version_are_unknown() {
    let mut tables = Tables::default();
    for step in 0..MAX_LOGGED_CHANGES as u16 + 5 {
        tables.apply(Arc::new(change(&[(1, step % 4, 1)], &[])));
    }
    assert!(tables.changes_since(4).is_none());
    assert!(tables.changes_since(tables.version + 1).is_none());
    assert_eq!(tables.changes_since(tables.version), Some(Change::default()));
}

#[test]
fn readmitted_hosts_are_not_kept() {
    let mut tables = Tables::default();
    let exclusions = |excluded| (0..50).map(|number| (host(number), excluded)).collect();
    tables.apply(Arc::new(Change { exclusions: exclusions(true), ..Change::default() }));
    assert_eq!(tables.snapshot().exclusions, exclusions(true));
    tables.apply(Arc::new(Change { exclusions: exclusions(false), ..Change::default() }));
    assert!(tables.excluded.is_empty() && tables.snapshot().exclusions.is_empty());
}
