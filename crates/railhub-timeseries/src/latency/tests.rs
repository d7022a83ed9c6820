use super::*;

#[test]
fn unanswered_operations_rank_as_the_slowest() {
    let answered = Histogram::new(SIGNIFICANT_DIGITS).expect("a valid number of digits");
    let mut histogram = LatencyHistogram { class: "view".into(), answered, unanswered: 20 };
    (1..=980).for_each(|n| histogram.answered.record(n * 1000).expect("in range"));
    let percentiles = histogram.percentiles();
    assert!((percentiles.p50.expect("answered") - 0.5).abs() < 0.01);
    assert_eq!((percentiles.p99, percentiles.p999), (None, None));
    let mut sum = histogram.clone();
    sum.unanswered = 0;
    sum.add(&LatencyHistogram { unanswered: 0, ..histogram });
    assert_eq!(sum.percentiles().operations, 1960);
    assert!((sum.percentiles().p99.expect("answered") - 0.970).abs() < 0.01);
}
