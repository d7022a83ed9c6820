//! Outlier ejection: which host loses its slices although it is in service, and for how long.
//!
//! Each tick compares the hosts' representative scores (a low percentile over all zones and the last seconds). A usable
//! host whose score exceeds all others by at least `EJECTION_SCORE_GAP` is ejected, one host at a time (IASO, see
//! `health_score`, section 2.3). While it is ejected its scores fall with time. The ejection ends once its current
//! score in its worst zone is `EJECTION_END_SCORE` or less, or when the host is not usable. No host is ejected while
//! load is shed, because a poor host is better than an overload of the others; an ejection in progress continues.
use super::health_score::{representative_score, worst_score, MIN_SCORE};
use super::host::Host;
use crate::interface::{CommandSink, DecisionEvent, HostId, Seconds};
use std::collections::BTreeMap;

/// Least number of points by which an outlier's score exceeds the score of every other host.
pub const EJECTION_SCORE_GAP: f64 = 30.0;
/// Score at or below which an ejection ends. It is less than the gap, or the host would be the outlier again at once.
const EJECTION_END_SCORE: f64 = 25.0;

/// A host's representative health score.
pub struct HostScore {
    pub host: HostId,
    pub score: f64,
}

/// Returns the host whose score exceeds all others by the gap; `None` if there are no other hosts.
pub fn find_outlier(scores: &[HostScore]) -> Option<HostId> {
    let highest = scores.iter().max_by(|a, b| a.score.total_cmp(&b.score))?;
    let others = scores.iter().filter(|other| other.host != highest.host);
    let next = others.map(|other| other.score).fold(MIN_SCORE, f64::max);
    (scores.len() > 1 && highest.score - next >= EJECTION_SCORE_GAP).then_some(highest.host)
}

/// Ends an interval of all health scores. `ejected` is the host that is ejected so far; returns the host that is
/// ejected from now on.
pub fn evaluate_outliers(
    now: Seconds,
    hosts: &mut BTreeMap<HostId, Host>,
    ejected: Option<HostId>,
    is_shedding: bool,
    commands: &mut impl CommandSink,
) -> Option<HostId> {
    let mut scores = Vec::new();
    for (id, host) in hosts.iter_mut() {
        for zone in host.zone_scores.values_mut() {
            zone.evaluate(now, ejected == Some(*id));
        }
        if host.is_usable() {
            scores.push(HostScore { host: *id, score: representative_score(&host.zone_scores) });
        }
    }
    let Some(ejected) = ejected else {
        let outlier = find_outlier(&scores).filter(|_| !is_shedding)?;
        commands.report(DecisionEvent::OutlierEjected(outlier));
        return Some(outlier);
    };
    let host = &hosts[&ejected];
    if worst_score(&host.zone_scores) <= EJECTION_END_SCORE || !host.is_usable() {
        commands.report(DecisionEvent::EjectionEnded(ejected));
        return None;
    }
    Some(ejected)
}
