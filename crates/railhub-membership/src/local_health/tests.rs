use super::*;

#[test]
fn one_that_hears_nothing_waits_longer_up_to_a_bound_and_recovers() {
    let mut health = LocalHealth::default();
    (0..100).for_each(|_| health.on_missed_nack());
    assert_eq!(health.multiplier(), 3.0);
    (0..8).for_each(|_| health.on_probe_success());
    assert_eq!(health.multiplier(), 1.0);
}
