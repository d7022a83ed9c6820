use super::*;

#[test]
fn snapshots_wait_while_half_the_backlog_is_used() {
    assert!(snapshot_fits(0.0, 900.0, 1000.0));
    assert!(snapshot_fits(100.0, 400.0, 1000.0));
    assert!(!snapshot_fits(101.0, 400.0, 1000.0));
}
