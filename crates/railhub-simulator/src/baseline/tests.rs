use super::*;
use railhub_proto::HostLoad;

#[test]
fn weights_follow_latency_and_unknown_hosts_get_the_median() {
    let mut baseline = BaselineController::new(Baseline::Latency, 8);
    let host = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    let endpoint = EndpointState { phase: Phase::Ready, started_at: None, weight: 1.0, kind: 0 };
    let endpoints = (1..=4).map(|n| (host(n), endpoint)).collect();
    let host_load = |n: u16, time: f64| HostLoad {
        host: host(n).to_string(),
        attempts: 10,
        failed: 0,
        success_time: 10.0 * time,
        utilization: None,
    };
    let hosts = vec![host_load(1, 0.2), host_load(2, 0.1), host_load(3, 0.1)];
    let report = Box::new(LoadReport { span: 1.0, hosts, slices: Vec::new() });
    baseline.on_load_reports(1.0, [report].into_iter());
    let (change, _) = baseline.next_change(&endpoints).expect("all entries are new");
    let weights: Vec<f64> = change.lines.values().copied().collect();
    assert_eq!(weights, [0.5, 1.0, 1.0, 1.0]);
    assert!(baseline.next_change(&endpoints).is_none(), "nothing is left to change");
    assert_eq!(baseline.snapshot().0.assigned_table, Some(SliceId(0)), "one table for all slices");
}
