use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn noisy(levels: &[(usize, f64)], noise: f64, seed: u64) -> Vec<f64> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut one = |mean: f64| {
        let sum: f64 = (0..12).map(|_| chance.random::<f64>()).sum();
        mean + (sum - 6.0) * noise
    };
    levels.iter().flat_map(|(count, mean)| vec![*mean; *count]).map(&mut one).collect()
}

#[test]
fn a_fall_and_a_rise_are_found_where_they_are() {
    for seed in 0..20 {
        let values = noisy(&[(20, 0.97), (12, 0.82), (20, 0.96)], 0.015, seed);
        let found = levels(&values);
        assert_eq!(found.len(), 3, "seed {seed}: {found:?}");
        assert!(found[1].from.abs_diff(20) <= 1 && found[1].until.abs_diff(32) <= 1, "{found:?}");
        assert!((found[1].mean - 0.82).abs() < 0.02);
    }
}

#[test]
fn noise_alone_is_one_level() {
    let changed = (0..100).filter(|seed| levels(&noisy(&[(60, 0.95)], 0.02, *seed)).len() > 1).count();
    assert!(changed <= 5, "{changed} of 100");
}

#[test]
fn a_line_without_any_noise_and_short_ones_are_taken() {
    let level = |from, until, mean| Level { from, until, mean };
    assert_eq!(levels(&[1.0; 30]), [level(0, 30, 1.0)]);
    assert_eq!(levels(&[]), []);
    assert_eq!(levels(&[0.5]), [level(0, 1, 0.5)]);
    let step: Vec<f64> = [1.0; 15].into_iter().chain([0.7; 15]).collect();
    assert_eq!(levels(&step).iter().map(|l| l.from).collect::<Vec<_>>(), [0, 15]);
}
