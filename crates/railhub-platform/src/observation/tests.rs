use super::*;

#[test]
fn resumes_once_after_an_interruption_between_two_batches() {
    let mut tracker = ObservationTracker::default();
    assert_eq!(tracker.next_batch(true, false), Observation::Resumed, "the first snapshot");
    assert_eq!(tracker.next_batch(true, false), Observation::Complete);
    tracker.on_interrupted();
    assert_eq!(tracker.next_batch(true, false), Observation::Resumed);
    assert_eq!(tracker.next_batch(false, false), Observation::Interrupted);
    assert_eq!(tracker.next_batch(true, true), Observation::Interrupted);
    assert_eq!(tracker.next_batch(true, false), Observation::Resumed);
}

#[test]
fn silence_alone_misses_no_changes() {
    let mut tracker = ObservationTracker::default();
    tracker.next_batch(true, false);
    assert_eq!(tracker.next_batch(true, true), Observation::Interrupted);
    assert_eq!(tracker.next_batch(true, false), Observation::Complete);
}
