use super::*;
use proptest::prelude::*;

pub fn host(n: u16) -> HostId {
    HostId::new(&format!("127.0.0.1:{}", 8000 + n)).expect("a name")
}

fn change(lines: &[(u16, u16, u8)], clears: &[u16]) -> Change {
    Change {
        cleared: clears.iter().map(|slice| SliceId(*slice)).collect(),
        lines: (lines.iter())
            .map(|(slice, at, weight)| ((SliceId(*slice), host(*at)), f64::from(*weight)))
            .collect(),
        ..Change::default()
    }
}

/// What a proxy does with a change.
fn follow(held: &mut BTreeMap<(SliceId, HostId), f64>, change: &Change) {
    held.retain(|(slice, _), _| !change.cleared.contains(slice));
    for (key, weight) in &change.lines {
        if *weight > 0.0 {
            held.insert(*key, *weight);
        } else {
            held.remove(key);
        }
    }
}

type Step = (Vec<(u16, u16, u8)>, Vec<u16>);

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let lines = proptest::collection::vec((0..4u16, 0..4u16, 0..3u8), 0..6);
    proptest::collection::vec((lines, proptest::collection::vec(0..4u16, 0..2)), 1..20)
}

proptest! {
    #[test]
    fn whole_since_and_one_by_one_end_alike(steps in steps(), left_at in 0..20usize) {
        let mut tables = Tables::default();
        let (mut by_one, mut away) = (BTreeMap::new(), BTreeMap::new());
        let mut away_at = 0;
        for (place, (lines, clears)) in steps.iter().enumerate() {
            let change = change(lines, clears);
            tables.apply(Arc::new(change.clone()));
            follow(&mut by_one, &change);
            if place <= left_at {
                follow(&mut away, &change);
                away_at = tables.version;
            }
        }
        let mut fresh = BTreeMap::from([((SliceId(9), host(1)), 1.0)]);
        follow(&mut fresh, &tables.snapshot());
        fresh.remove(&(SliceId(9), host(1)));
        prop_assert_eq!(&fresh, &by_one);
        follow(&mut away, &tables.changes_since(away_at).expect("kept"));
        prop_assert_eq!(&away, &by_one);
    }

    #[test]
    fn a_change_held_back_does_not_undo_later_ones(steps in steps()) {
        // The first change was refused, all others were taken in; then it is sent again without what
        // they say.
        let mut refused = change(&steps[0].0, &steps[0].1);
        refused.cleared.clear();
        let mut held = BTreeMap::new();
        let mut right = BTreeMap::new();
        follow(&mut right, &refused);
        for (lines, _) in &steps[1..] {
            let later = change(lines, &[]);
            refused.remove_superseded(&later);
            follow(&mut held, &later);
            follow(&mut right, &later);
        }
        follow(&mut held, &refused);
        prop_assert_eq!(held, right);
    }
}

#[test]
fn a_version_that_is_too_old_or_not_ours_is_not_known() {
    let mut tables = Tables::default();
    for n in 0..MAX_LOGGED_CHANGES as u16 + 5 {
        tables.apply(Arc::new(change(&[(1, n % 4, 1)], &[])));
    }
    assert!(tables.changes_since(4).is_none());
    assert!(tables.changes_since(tables.version + 1).is_none());
    assert_eq!(tables.changes_since(tables.version), Some(Change::default()));
}
