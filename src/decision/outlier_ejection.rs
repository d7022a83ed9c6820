//! Outlier ejection: which host loses its slices though it is in service, and until when.
//!
//! Each tick compares the hosts' representative scores (a low quantile over all zones and the last seconds). The one
//! usable host whose score stands `EJECTION_SCORE_GAP` above all others is ejected; one host at a time is (IASO, see
//! `health_score`, section 2.3). While it is ejected its scores fall with time, and the ejection ends once its worst
//! zone's present score is `EJECTION_END_SCORE` or less, or it is not usable. No further host is ejected while load is
//! shed, as a poor host is better than an overload of the others; an ejection that has begun goes on.
use super::health_score::{representative_score, worst_score, MIN_SCORE};
use super::host::Host;
use crate::interface::{CommandSink, DecisionEvent, HostId, Seconds};
use std::collections::BTreeMap;

/// Points by which an outlier's score exceeds every other host's.
pub const EJECTION_SCORE_GAP: f64 = 30.0;
/// Score at which an ejection ends: below the gap, or the host would be the outlier again at once.
const EJECTION_END_SCORE: f64 = 25.0;

/// A host's representative health score.
pub struct HostScore {
    pub host: HostId,
    pub score: f64,
}

/// The host whose score stands the gap above all others, if there are others.
pub fn find_outlier(scores: &[HostScore]) -> Option<HostId> {
    let highest = scores.iter().max_by(|a, b| a.score.total_cmp(&b.score))?;
    let others = scores.iter().filter(|other| other.host != highest.host);
    let next = others.map(|other| other.score).fold(MIN_SCORE, f64::max);
    (scores.len() > 1 && highest.score - next >= EJECTION_SCORE_GAP).then_some(highest.host)
}

/// Ends an interval of all health scores. Takes the host that is ejected and returns the one that is from now on.
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
