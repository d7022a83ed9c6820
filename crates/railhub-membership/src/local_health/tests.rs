use super::*;

#[test]
fn timeout_multiplier_is_bounded_and_recovers() {
    let mut health = LocalHealth::default();
    (0..100).for_each(|_| health.on_missed_nack());
    assert_eq!(health.multiplier(), 3.0);
    (0..8).for_each(|_| health.on_probe_success());
    assert_eq!(health.multiplier(), 1.0);
}
