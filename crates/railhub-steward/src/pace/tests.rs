use super::*;

#[test]
fn joins_wait_while_half_the_backlog_is_used() {
    assert!(may_join(0.0, 900.0, 1000.0));
    assert!(may_join(100.0, 400.0, 1000.0));
    assert!(!may_join(101.0, 400.0, 1000.0));
}
