use super::*;
use std::collections::BTreeSet;

#[test]
fn names_and_aliases_are_unique() {
    let aliases: BTreeSet<&str> = CONSTANT_NAMES.iter().map(|constant| constant.alias).collect();
    let names: BTreeSet<&str> = CONSTANT_NAMES.iter().map(|constant| constant.name).collect();
    assert_eq!((aliases.len(), names.len()), (CONSTANT_NAMES.len(), CONSTANT_NAMES.len()));
    assert!(aliases.is_disjoint(&names));
}

#[test]
fn finds_every_constant_of_the_experiment_plan() {
    let plan = include_str!("../../../../experiments/constants.ini");
    let keys =
        plan.lines().filter_map(|line| line.strip_prefix("module.")).filter_map(|rest| rest.split_once(' '));
    let mut key_count = 0;
    for (key, _) in keys {
        assert!(find(key).is_some(), "unknown constant {key}");
        key_count += 1;
    }
    assert!(key_count > 40, "the plan has {key_count} keys");
}
