//! The health score of a host as the proxies of one zone see it: from 1 (healthy) to 100.
//!
//! An additive-increase, multiplicative-decrease rule after IASO ("A Fail-Slow Detection and Mitigation Framework
//! for Distributed Storage Services", section 2.2). An interval in which attempts failed multiplies the score, an
//! interval without failures reduces it by a fixed step. A missing report is no evidence, so the score does not change.
//!
//! Inputs: attempts and failures, by zone and host. Result: the scores that `outlier_ejection` compares.
use crate::decaying::quantile;
use crate::interface::{HostLoadReport, Seconds, ZoneId};
use std::collections::BTreeMap;

/// Seconds between two ticks of the controller, each of which evaluates the scores; IASO's epoch.
pub const TICK_INTERVAL: Seconds = 1.0;
/// Fraction of failed attempts at or above which a score doubles in each interval; IASO's ratioThresh.
const HEAVY_FAILURE_FRACTION: f64 = 0.1;
/// Seconds without a failure in which a score falls from 100 to 1; IASO's minTTR.
pub const SCORE_RECOVERY_TIME: Seconds = 12.0;
/// Length of the window of past scores on which a host is evaluated, in seconds.
const SCORE_WINDOW: Seconds = 5.0;
/// Fraction of the scores in the window that lie below the representative score.
pub const SCORE_PERCENTILE: f64 = 0.3;
/// The score of a host without failures.
pub const MIN_SCORE: f64 = 1.0;
/// The highest score.
const MAX_SCORE: f64 = 100.0;

/// A score at one evaluation.
pub struct ScoreSample {
    at: Seconds,
    score: f64,
}

/// The score of a host in one zone, and the totals of the reports since it was last evaluated.
pub struct ZoneHealthScore {
    pub score: f64,
    attempts: f64,
    failed: f64,
    /// Seconds that the reports cover.
    span: Seconds,
    /// Scores of the last `SCORE_WINDOW` seconds, oldest first.
    pub window: Vec<ScoreSample>,
}

impl Default for ZoneHealthScore {
    fn default() -> ZoneHealthScore {
        ZoneHealthScore { score: MIN_SCORE, attempts: 0.0, failed: 0.0, span: 0.0, window: Vec::new() }
    }
}

impl ZoneHealthScore {
    /// Adds the attempts of a report to the current interval.
    pub fn add_report(&mut self, report: &HostLoadReport) {
        self.attempts += report.attempts;
        self.failed += report.failed;
        self.span += report.span;
    }

    /// Ends an interval and updates the score. A report that covers several intervals counts for each of them. The
    /// score of an ejected host falls whatever the reports show.
    pub fn evaluate(&mut self, now: Seconds, is_ejected: bool) {
        let has_report = self.attempts > 0.0;
        if is_ejected {
            self.score = recovered_score(self.score, 1.0);
        } else if has_report {
            let intervals = (self.span / TICK_INTERVAL).max(1.0);
            self.score = next_score(self.score, self.attempts, self.failed, intervals);
        }
        if is_ejected || has_report {
            self.window.push(ScoreSample { at: now, score: self.score });
        }
        (self.attempts, self.failed, self.span) = (0.0, 0.0, 0.0);
        self.window.retain(|sample| sample.at >= now - SCORE_WINDOW);
    }
}

/// The score after `intervals` intervals without a failure.
fn recovered_score(score: f64, intervals: f64) -> f64 {
    (score - MAX_SCORE * TICK_INTERVAL * intervals / SCORE_RECOVERY_TIME).clamp(MIN_SCORE, MAX_SCORE)
}

/// The score after `intervals` intervals, given the attempts in all of them.
pub fn next_score(score: f64, attempts: f64, failed: f64, intervals: f64) -> f64 {
    if failed <= 0.0 {
        return recovered_score(score, intervals);
    }
    let severity = (failed / attempts).min(HEAVY_FAILURE_FRACTION) / HEAVY_FAILURE_FRACTION;
    (score * (1.0 + severity).powf(intervals)).clamp(MIN_SCORE, MAX_SCORE)
}

/// The score of a host over all zones: a low percentile of the scores in the window, so that a single zone does not
/// raise it.
pub fn representative_score(zones: &BTreeMap<ZoneId, ZoneHealthScore>) -> f64 {
    let samples = zones.values().flat_map(|zone| &zone.window);
    let scores = samples.map(|sample| sample.score).collect();
    quantile(scores, SCORE_PERCENTILE).unwrap_or(MIN_SCORE)
}

/// The highest current score of a host in any zone.
pub fn worst_score(zones: &BTreeMap<ZoneId, ZoneHealthScore>) -> f64 {
    zones.values().map(|zone| zone.score).fold(MIN_SCORE, f64::max)
}
