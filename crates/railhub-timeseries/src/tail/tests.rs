use super::*;

#[test]
fn what_was_never_answered_is_slower_than_all_that_was() {
    let times = Histogram::new(DIGITS).expect("right");
    let mut tail = Tail { class: "view".into(), times, unanswered: 20 };
    (1..=980).for_each(|n| tail.times.record(n * 1000).expect("in range"));
    let figures = tail.figures();
    assert!((figures.half.expect("answered") - 0.5).abs() < 0.01);
    assert_eq!((figures.of_99, figures.of_999), (None, None));
    let mut both = tail.clone();
    both.unanswered = 0;
    both.add(&Tail { unanswered: 0, ..tail });
    assert_eq!(both.figures().operations, 1960);
    assert!((both.figures().of_99.expect("answered") - 0.970).abs() < 0.01);
}
