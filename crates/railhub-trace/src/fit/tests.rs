use super::*;
use crate::samples::{row, trace};
use crate::TraceRow;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Gamma as DrawGamma, LogNormal as DrawLogNormal, Zipf};

fn random_generator() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(8)
}

fn random_rows(
    count: usize,
    gap: impl Fn(&mut ChaCha8Rng) -> f64,
    key: impl Fn(&mut ChaCha8Rng) -> u64,
) -> Vec<TraceRow> {
    let (mut rng, mut at) = (random_generator(), 0.0);
    let work = DrawLogNormal::new(-2.0, 0.5).expect("valid parameters");
    let random_row = |_| {
        at += gap(&mut rng);
        let key = key(&mut rng);
        TraceRow { work: Some(work.sample(&mut rng)), ..row(at, 0, key) }
    };
    (0..count).map(random_row).collect()
}

#[test]
fn fit_recovers_the_distributions_of_generated_rows() {
    let zipf = Zipf::new(500.0, 0.8).expect("valid parameters");
    let gap = |rng: &mut ChaCha8Rng| {
        let gap: f64 = Exp1.sample(rng);
        gap / 200.0
    };
    let fitted = fit(&trace(random_rows(20_000, gap, |rng| zipf.sample(rng) as u64)));
    let arrivals = fitted.arrivals.expect("single operations");
    assert!((arrivals.dispersion - 1.0).abs() < 0.1, "{}", arrivals.dispersion);
    let exponential = arrivals.gaps.iter().find(|fitted| fitted.name == "exponential").expect("a candidate");
    assert!(exponential.fits, "{exponential:?}");
    let keys = fitted.keys.expect("keys are known");
    assert!((keys.exponent - 0.8).abs() < 0.03, "{}", keys.exponent);
    assert!(keys.outliers.is_empty(), "{:?}", keys.outliers);
    let work = &fitted.work[0];
    assert_eq!(work.candidates[0].name, "log-normal");
    assert!(work.candidates[0].fits && !work.candidates[2].fits, "{:?}", work.candidates);
}

#[test]
fn short_remainder_is_part_of_the_last_rate_window() {
    let mut rows: Vec<TraceRow> =
        (0..1000).map(|n| row(f64::from(n) / 100.0, 0, u64::from(n as u32 % 9))).collect();
    rows.push(row(10.0008, 0, 1));
    let mut trace = trace(rows);
    trace.header.length = 10.001;
    let rates = fit(&trace).arrivals.expect("single operations").rates;
    assert_eq!(rates.len(), 2);
    assert!(rates.iter().all(|rate| (rate - 100.0).abs() < 1.0), "{rates:?}");
}

#[test]
fn bursty_arrivals_are_not_fitted_as_exponential() {
    let gaps = DrawGamma::new(0.3, 1.0 / 60.0).expect("valid parameters");
    let rows = random_rows(20_000, |rng| gaps.sample(rng), |rng| rng.random_range(0..1000));
    let arrivals = fit(&trace(rows)).arrivals.expect("single operations");
    assert!(arrivals.dispersion > 2.0, "{}", arrivals.dispersion);
    assert_eq!(arrivals.gaps[0].name, "gamma");
    assert!(arrivals.gaps.iter().all(|fitted| fitted.name != "exponential" || !fitted.fits));
}

#[test]
fn one_hot_key_is_an_outlier_of_the_power_law() {
    let zipf = Zipf::new(500.0, 0.7).expect("valid parameters");
    let key = |rng: &mut ChaCha8Rng| {
        let hot = rng.random::<f64>() < 0.25;
        let key = zipf.sample(rng) as u64;
        if hot {
            7777
        } else {
            key
        }
    };
    let keys = fit(&trace(random_rows(20_000, |_| 0.005, key))).keys.expect("keys are known");
    assert_eq!(keys.outliers.len(), 1);
    assert_eq!(keys.outliers[0].0, 7777);
    assert!((keys.outliers[0].1 - 0.25).abs() < 0.02);
    assert!((keys.exponent - 0.7).abs() < 0.04, "{}", keys.exponent);
}

#[test]
fn aggregates_are_not_fitted() {
    let aggregate = TraceRow { span: 1.0, count: 50, key: None, work: None, ..row(1.0, 0, 0) };
    let fitted = fit(&trace(vec![aggregate; 100]));
    assert!(fitted.arrivals.is_none() && fitted.keys.is_none() && fitted.work.is_empty());
}
