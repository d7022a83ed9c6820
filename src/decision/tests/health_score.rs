use crate::decaying::quantile;
use crate::decision::health_score::{next_score, ZoneHealthScore, SCORE_PERCENTILE, SCORE_RECOVERY_TIME};

#[test]
fn score_follows_paper_examples_and_recovers_linearly() {
    assert_eq!(next_score(32.0, 10.0, 5.0, 1.0), 64.0);
    assert!((next_score(32.0, 100.0, 1.0, 1.0) - 35.2).abs() < 1e-9);
    assert!((next_score(32.0, 10.0, 0.0, 1.0) - (32.0 - 100.0 / SCORE_RECOVERY_TIME)).abs() < 1e-9);
    assert_eq!(next_score(90.0, 10.0, 10.0, 1.0), 100.0);
    assert_eq!(next_score(2.0, 10.0, 0.0, 3.0), 1.0);
    assert_eq!(next_score(8.0, 10.0, 10.0, 2.0), 32.0);
}

#[test]
fn score_is_kept_without_reports() {
    let mut zone = ZoneHealthScore::default();
    zone.score = 40.0;
    zone.evaluate(1.0, false);
    assert_eq!((zone.score, zone.window.len()), (40.0, 0));
}

#[test]
fn score_percentile_is_the_30th() {
    assert_eq!(quantile((1..=10).map(f64::from).collect(), SCORE_PERCENTILE), Some(4.0));
    assert_eq!(quantile(Vec::new(), SCORE_PERCENTILE), None);
}
