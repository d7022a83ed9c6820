use super::*;
use crate::decision::outlier_ejection::{find_outlier, HostScore, EJECTION_SCORE_GAP};

fn scores(scores: &[(HostId, f64)]) -> Vec<HostScore> {
    scores.iter().map(|(host, score)| HostScore { host: *host, score: *score }).collect()
}

#[test]
fn outlier_exceeds_next_score_by_the_gap() {
    assert_eq!(find_outlier(&scores(&[(host(1), 1.0), (host(2), 31.0)])), Some(host(2)));
    assert_eq!(find_outlier(&scores(&[(host(1), 50.0), (host(2), 79.0)])), None);
    assert_eq!(find_outlier(&scores(&[(host(1), 100.0), (host(2), 100.0)])), None);
    assert_eq!(find_outlier(&scores(&[(host(1), 100.0)])), None);
}

#[test]
fn failing_host_is_ejected_until_its_score_recovers() {
    let mut controller = controller(config());
    (1..12).for_each(|k| {
        controller.handle_batch(&failure_reports(100.0 + f64::from(k), 2), &mut RecordedCommands::default())
    });
    assert_eq!((controller.ejected_outlier, owned_slice_count(&controller, 2)), (Some(host(2)), 0));
    controller.handle_batch(&failure_reports(112.0, 3), &mut RecordedCommands::default());
    assert_eq!(controller.ejected_outlier, Some(host(2)));
    // When the ejection ends, the host must not become the outlier again at once.
    let mut now = 113.0;
    while controller.ejected_outlier.is_some() {
        controller.handle_batch(&tick(now), &mut RecordedCommands::default());
        now += 1.0;
    }
    assert!(controller.hosts[&host(2)].zone_scores[&ZoneId(0)].score < EJECTION_SCORE_GAP);
}

#[test]
fn no_host_is_ejected_while_load_is_shed() {
    // After the loss of a zone, ejecting one of the few remaining hosts would overload the others.
    let mut controller = controller(config());
    (1..12).for_each(|k| {
        controller.admission.rates[0] = 0.5;
        controller.handle_batch(&failure_reports(100.0 + f64::from(k), 2), &mut RecordedCommands::default());
        controller.admission.rates[0] = 0.5;
    });
    assert_eq!(controller.ejected_outlier, None);
}
