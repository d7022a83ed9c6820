use super::*;

#[test]
fn acknowledgement_covers_earlier_deltas_of_the_same_proxy() {
    let mut unacknowledged = UnacknowledgedDeltas::default();
    for (proxy, version) in [(1, 1), (1, 2), (1, 3), (2, 1), (2, 2)] {
        unacknowledged.on_received(proxy, version, 10);
    }
    unacknowledged.on_acknowledged(1, 2);
    assert_eq!((unacknowledged.delta_count(), unacknowledged.line_count()), (3, 30));
    unacknowledged.on_stream_closed(2);
    assert_eq!(unacknowledged.delta_count(), 1);
}
