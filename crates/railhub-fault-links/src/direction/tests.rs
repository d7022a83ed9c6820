use super::*;
use proptest::prelude::*;
use rand::SeedableRng;

fn direction(faults: Faults) -> Direction {
    Direction { faults, ..Direction::new(ChaCha8Rng::seed_from_u64(5)) }
}

#[test]
fn fault_fractions_match_the_counts() {
    let mut direction = direction(Faults { lost: 0.2, duplicated: 0.1, reordered: 0.3, ..Faults::default() });
    let departures: usize = (0..10_000).map(|n| direction.schedule(f64::from(n), 100).len()).sum();
    let counts = direction.counts;
    assert!(counts.lost.abs_diff(2000) < 150 && counts.duplicated.abs_diff(800) < 100, "{counts:?}");
    assert!(counts.reordered.abs_diff(2400) < 150, "{counts:?}");
    assert_eq!(departures as u64, counts.passed + counts.duplicated);
}

#[test]
fn limited_rate_spaces_packets_and_drops_when_its_queue_is_full() {
    let mut direction = direction(Faults { bytes_per_second: 1000.0, ..Faults::default() });
    assert_eq!(direction.schedule(0.0, 100), [0.1]);
    assert_eq!(direction.schedule(0.0, 100), [0.2]);
    (0..20).for_each(|_| _ = direction.schedule(0.0, 100));
    assert!(direction.counts.queue_dropped > 10, "{:?}", direction.counts);
}

proptest! {
    #[test]
    fn packets_leave_after_their_delay_and_never_while_cut(
        lost in 0.0..1.0f64, delay in 0.0..1.0f64, jitter in 0.0..1.0f64, cut: bool,
    ) {
        let mut direction = direction(Faults { lost, delay, jitter, cut, reordered: 0.5, duplicated: 0.5, bytes_per_second: 0.0 });
        for n in 0..50 {
            let departures = direction.schedule(f64::from(n), 10);
            prop_assert!(departures.iter().all(|at| *at >= f64::from(n) + delay));
            prop_assert!(!cut || departures.is_empty());
        }
    }
}
