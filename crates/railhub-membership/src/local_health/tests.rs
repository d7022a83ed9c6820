use super::*;

#[test]
fn one_that_hears_nothing_waits_longer_up_to_a_bound_and_recovers() {
    let mut health = LocalHealth::default();
    (0..100).for_each(|_| health.heard_nothing());
    assert_eq!(health.patience(), 3.0);
    (0..8).for_each(|_| health.did_well());
    assert_eq!(health.patience(), 1.0);
}
