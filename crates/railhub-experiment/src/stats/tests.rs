use super::*;

#[test]
fn interval_covers_the_true_mean_as_often_as_claimed() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut covered = 0;
    for trial in 0..400 {
        // Mostly 0, one in ten 1: mean 0.1.
        let values: Vec<f64> = (0..60).map(|_| if rng.random::<f64>() < 0.1 { 1.0 } else { 0.0 }).collect();
        let estimate = estimate(&values, trial);
        covered += usize::from(estimate.low <= 0.1 && 0.1 <= estimate.high);
    }
    assert!((360..=396).contains(&covered), "{covered} of 400");
}

#[test]
fn verdict_follows_from_the_interval() {
    let verdict_of = |low, high| verdict(&Estimate { mean: (low + high) / 2.0, low, high, count: 9 }, 0.01);
    assert_eq!(verdict_of(0.02, 0.05), Verdict::Better);
    assert_eq!(verdict_of(-0.05, -0.02), Verdict::Worse);
    assert_eq!(verdict_of(-0.005, 0.008), Verdict::NoDifferenceWorthHaving);
    assert_eq!(verdict_of(-0.02, 0.03), Verdict::NotKnownYet);
}
