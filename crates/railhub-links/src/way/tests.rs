use super::*;
use proptest::prelude::*;
use rand::SeedableRng;

fn way(faults: Faults) -> Way {
    Way { faults, ..Way::new(ChaCha8Rng::seed_from_u64(5)) }
}

#[test]
fn shares_are_kept_and_counted() {
    let mut way = way(Faults { lost: 0.2, doubled: 0.1, reordered: 0.3, ..Faults::default() });
    let left: usize = (0..10_000).map(|n| way.pass(f64::from(n), 100).len()).sum();
    let counts = way.counts;
    assert!(counts.lost.abs_diff(2000) < 150 && counts.doubled.abs_diff(800) < 100, "{counts:?}");
    assert!(counts.reordered.abs_diff(2400) < 150, "{counts:?}");
    assert_eq!(left as u64, counts.passed + counts.doubled);
}

#[test]
fn a_way_of_limited_rate_spaces_pieces_and_drops_what_its_queue_cannot_hold() {
    let mut way = way(Faults { rate: 1000.0, ..Faults::default() });
    assert_eq!(way.pass(0.0, 100), [0.1]);
    assert_eq!(way.pass(0.0, 100), [0.2]);
    (0..20).for_each(|_| _ = way.pass(0.0, 100));
    assert!(way.counts.overrun > 10, "{:?}", way.counts);
}

proptest! {
    #[test]
    fn nothing_leaves_before_it_came_and_a_cut_way_lets_nothing_through(
        lost in 0.0..1.0f64, delay in 0.0..1.0f64, jitter in 0.0..1.0f64, cut: bool,
    ) {
        let mut way = way(Faults { lost, delay, jitter, cut, reordered: 0.5, doubled: 0.5, rate: 0.0 });
        for n in 0..50 {
            let left = way.pass(f64::from(n), 10);
            prop_assert!(left.iter().all(|at| *at >= f64::from(n) + delay));
            prop_assert!(!cut || left.is_empty());
        }
    }
}
