use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn noisy_series(segments: &[(usize, f64)], noise: f64, seed: u64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut noisy_value = |mean: f64| {
        let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
        mean + (sum - 6.0) * noise
    };
    segments.iter().flat_map(|(count, mean)| vec![*mean; *count]).map(&mut noisy_value).collect()
}

#[test]
fn finds_the_position_of_a_fall_and_a_rise() {
    for seed in 0..20 {
        let values = noisy_series(&[(20, 0.97), (12, 0.82), (20, 0.96)], 0.015, seed);
        let found = segments(&values);
        assert_eq!(found.len(), 3, "seed {seed}: {found:?}");
        assert!(found[1].start.abs_diff(20) <= 1 && found[1].end.abs_diff(32) <= 1, "{found:?}");
        assert!((found[1].mean - 0.82).abs() < 0.02);
    }
}

#[test]
fn noise_alone_is_a_single_segment() {
    let changed =
        (0..100).filter(|seed| segments(&noisy_series(&[(60, 0.95)], 0.02, *seed)).len() > 1).count();
    assert!(changed <= 5, "{changed} of 100");
}

#[test]
fn segments_constant_and_short_series() {
    let segment = |start, end, mean| Segment { start, end, mean };
    assert_eq!(segments(&[1.0; 30]), [segment(0, 30, 1.0)]);
    assert_eq!(segments(&[]), []);
    assert_eq!(segments(&[0.5]), [segment(0, 1, 0.5)]);
    let step: Vec<f64> = [1.0; 15].into_iter().chain([0.7; 15]).collect();
    assert_eq!(segments(&step).iter().map(|segment| segment.start).collect::<Vec<_>>(), [0, 15]);
}
