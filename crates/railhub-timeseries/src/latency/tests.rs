use super::*;

#[test]
fn what_was_never_answered_is_slower_than_all_that_was() {
    let answered = Histogram::new(SIGNIFICANT_DIGITS).expect("right");
    let mut histogram = LatencyHistogram { class: "view".into(), answered, unanswered: 20 };
    (1..=980).for_each(|n| histogram.answered.record(n * 1000).expect("in range"));
    let percentiles = histogram.percentiles();
    assert!((percentiles.p50.expect("answered") - 0.5).abs() < 0.01);
    assert_eq!((percentiles.p99, percentiles.p999), (None, None));
    let mut both = histogram.clone();
    both.unanswered = 0;
    both.add(&LatencyHistogram { unanswered: 0, ..histogram });
    assert_eq!(both.percentiles().operations, 1960);
    assert!((both.percentiles().p99.expect("answered") - 0.970).abs() < 0.01);
}
