use super::*;
use std::collections::BTreeSet;

#[test]
fn no_alias_is_the_name_or_the_alias_of_another_constant() {
    let aliases: BTreeSet<&str> = CONSTANT_NAMES.iter().map(|constant| constant.alias).collect();
    let names: BTreeSet<&str> = CONSTANT_NAMES.iter().map(|constant| constant.name).collect();
    assert_eq!((aliases.len(), names.len()), (CONSTANT_NAMES.len(), CONSTANT_NAMES.len()));
    assert!(aliases.is_disjoint(&names));
}

#[test]
fn every_constant_that_a_plan_here_changes_is_known() {
    let plan = include_str!("../../../../experiments/constants.ini");
    let keys =
        plan.lines().filter_map(|line| line.strip_prefix("module.")).filter_map(|rest| rest.split_once(' '));
    let mut known = 0;
    for (key, _) in keys {
        assert!(find(key).is_some(), "{key}");
        known += 1;
    }
    assert!(known > 40, "{known} keys");
}
