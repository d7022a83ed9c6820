use super::*;
use railhub_proto::HostLoad;

#[test]
fn a_host_that_answers_twice_as_late_gets_half_and_an_unknown_one_the_median() {
    let mut plain = Plain::new(Baseline::Latency, 8);
    let host = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    let line = Line { phase: Phase::Ready, started: None, weight: 1.0, kind: 0 };
    let told = (1..=4).map(|n| (host(n), line)).collect();
    let sum = |n: u16, time: f64| HostLoad {
        host: host(n).to_string(),
        attempts: 10,
        failed: 0,
        success_time: 10.0 * time,
        utilization: None,
    };
    let hosts = vec![sum(1, 0.2), sum(2, 0.1), sum(3, 0.1)];
    let sums = Box::new(LoadReport { span: 1.0, hosts, slices: Vec::new() });
    plain.hear_sums(1.0, [sums].into_iter());
    let (change, _) = plain.changes(&told).expect("all is new");
    let weights: Vec<f64> = change.lines.values().copied().collect();
    assert_eq!(weights, [0.5, 1.0, 1.0, 1.0]);
    assert!(plain.changes(&told).is_none(), "it is as wanted");
    assert_eq!(plain.whole().0.assigned_table, Some(SliceId(0)), "one table for all slices");
}
