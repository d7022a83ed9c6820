use super::*;
use crate::samples::{row, traffic};
use crate::TraceRow;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Gamma as DrawGamma, LogNormal as DrawLogNormal, Zipf};

fn chance() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(8)
}

fn drawn(
    count: usize,
    gap: impl Fn(&mut ChaCha8Rng) -> f64,
    key: impl Fn(&mut ChaCha8Rng) -> u64,
) -> Vec<TraceRow> {
    let (mut chance, mut at) = (chance(), 0.0);
    let work = DrawLogNormal::new(-2.0, 0.5).expect("right");
    let one = |_| {
        at += gap(&mut chance);
        let key = key(&mut chance);
        TraceRow { work: Some(work.sample(&mut chance)), ..row(at, 0, key) }
    };
    (0..count).map(one).collect()
}

#[test]
fn what_was_drawn_is_found_again() {
    let zipf = Zipf::new(500.0, 0.8).expect("right");
    let gap = |chance: &mut ChaCha8Rng| {
        let gap: f64 = Exp1.sample(chance);
        gap / 200.0
    };
    let fitted = fit(&traffic(drawn(20_000, gap, |chance| zipf.sample(chance) as u64)));
    let arrivals = fitted.arrivals.expect("single operations");
    assert!((arrivals.dispersion - 1.0).abs() < 0.1, "{}", arrivals.dispersion);
    let exponential = arrivals.gaps.iter().find(|c| c.name == "exponential").expect("tried");
    assert!(exponential.fits, "{exponential:?}");
    let keys = fitted.keys.expect("known");
    assert!((keys.exponent - 0.8).abs() < 0.03, "{}", keys.exponent);
    assert!(keys.outliers.is_empty(), "{:?}", keys.outliers);
    let work = &fitted.work[0];
    assert_eq!(work.candidates[0].name, "log-normal");
    assert!(work.candidates[0].fits && !work.candidates[2].fits, "{:?}", work.candidates);
}

#[test]
fn a_sliver_at_the_end_has_no_rate_of_its_own() {
    let mut rows: Vec<TraceRow> =
        (0..1000).map(|n| row(f64::from(n) / 100.0, 0, u64::from(n as u32 % 9))).collect();
    rows.push(row(10.0008, 0, 1));
    let mut all = traffic(rows);
    all.header.length = 10.001;
    let rates = fit(&all).arrivals.expect("single operations").rates;
    assert_eq!(rates.len(), 2);
    assert!(rates.iter().all(|rate| (rate - 100.0).abs() < 1.0), "{rates:?}");
}

#[test]
fn bursts_are_seen_and_are_not_called_exponential() {
    let gaps = DrawGamma::new(0.3, 1.0 / 60.0).expect("right");
    let rows = drawn(20_000, |chance| gaps.sample(chance), |chance| chance.random_range(0..1000));
    let arrivals = fit(&traffic(rows)).arrivals.expect("single operations");
    assert!(arrivals.dispersion > 2.0, "{}", arrivals.dispersion);
    assert_eq!(arrivals.gaps[0].name, "gamma");
    assert!(arrivals.gaps.iter().all(|c| c.name != "exponential" || !c.fits));
}

#[test]
fn one_hot_key_is_told_apart_from_the_curve() {
    let zipf = Zipf::new(500.0, 0.7).expect("right");
    let key = |chance: &mut ChaCha8Rng| {
        let hot = chance.random::<f64>() < 0.25;
        let key = zipf.sample(chance) as u64;
        if hot {
            7777
        } else {
            key
        }
    };
    let keys = fit(&traffic(drawn(20_000, |_| 0.005, key))).keys.expect("known");
    assert_eq!(keys.outliers.len(), 1);
    assert_eq!(keys.outliers[0].0, 7777);
    assert!((keys.outliers[0].1 - 0.25).abs() < 0.02);
    assert!((keys.exponent - 0.7).abs() < 0.04, "{}", keys.exponent);
}

#[test]
fn sums_and_too_few_values_are_fitted_to_nothing() {
    let sums = TraceRow { span: 1.0, count: 50, key: None, work: None, ..row(1.0, 0, 0) };
    let fitted = fit(&traffic(vec![sums; 100]));
    assert!(fitted.arrivals.is_none() && fitted.keys.is_none() && fitted.work.is_empty());
}
