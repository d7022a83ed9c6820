//! When an outage is logged: after the grace period, once for each cause, then as reminders, even if causes alternate.
use railhub_platform_net::outage_log::{OutageLog, OutageNotice, GRACE_PERIOD, REMINDER_INTERVAL};
use railhub_platform_net::peer_health::Outage;

fn refused() -> Option<Outage> {
    Some(Outage { since: 100.0, cause: "refused".into() })
}

#[test]
fn logs_start_reminders_and_end_of_a_lasting_outage() {
    let mut log = OutageLog::default();
    let logged: Vec<f64> = (0..=200)
        .map(|second| 100.0 + f64::from(second))
        .filter(|now| log.check(*now, refused()).is_some())
        .collect();
    let first = 100.0 + GRACE_PERIOD;
    let reminders = [1.0, 2.0, 3.0].map(|count| first + count * REMINDER_INTERVAL);
    assert_eq!(logged, [[first].as_slice(), &reminders].concat());
    assert_eq!(log.check(301.0, None), Some(OutageNotice::Ended { elapsed: 201.0 }));
    assert_eq!(log.check(302.0, None), None);
}

#[test]
fn ignores_an_outage_shorter_than_the_grace_period() {
    let mut log = OutageLog::default();
    assert_eq!(log.check(100.0 + GRACE_PERIOD - 0.1, refused()), None);
    assert_eq!(log.check(100.0 + GRACE_PERIOD, None), None);
}

#[test]
fn logs_each_alternating_cause_once_up_to_the_limit() {
    let mut log = OutageLog::default();
    let outage = |second: u32| Some(Outage { since: 100.0, cause: format!("cause {}", second % 100) });
    let logged = (0..60).filter_map(|second| log.check(110.0 + f64::from(second), outage(second)));
    assert_eq!(logged.count(), 4);
    let repeated = (0..60).filter_map(|second| log.check(110.0 + f64::from(second), outage(second % 4)));
    assert_eq!(repeated.count(), 0);
}
