use super::*;
use railhub_proto::{HostLoad, SliceLoad};

fn report(span: f64, attempts: u32) -> LoadReport {
    let host = "127.0.0.1:8000".to_owned();
    let hosts = vec![HostLoad {
        host,
        attempts,
        failed: 0,
        success_time: 0.1 * f64::from(attempts),
        utilization: None,
    }];
    LoadReport { span, hosts, slices: vec![SliceLoad { slice: 3, class: 0, operations: attempts }] }
}

#[test]
fn rates_stay_correct_when_reports_are_delayed() {
    // Ten proxies with 5 attempts per second each. For 4 s no report arrives, then the next ones cover 5 s each.
    let mut aggregator = ReportAggregator::default();
    let (mut operations, mut span) = (0.0, 0.0);
    for second in 0..30 {
        let reports = if (10..14).contains(&second) { 0 } else { 10 };
        let covered = if second == 14 { 5.0 } else { 1.0 };
        for _ in 0..reports {
            aggregator.add(ZoneId(0), &report(covered, (5.0 * covered) as u32), 10);
        }
        for total in aggregator.flush(1.0, 100.0).1 {
            operations += total.operations;
            span += total.span;
        }
    }
    let rate = operations / span;
    assert!((45.0..70.0).contains(&rate), "{rate}");
    assert_eq!(operations, 1500.0);
}

#[test]
fn passes_on_the_oldest_totals_first_and_loses_none() {
    let mut aggregator = ReportAggregator::default();
    for slice in 0..50u32 {
        let demand = vec![SliceLoad { slice, class: 0, operations: 2 }];
        aggregator.add(ZoneId(0), &LoadReport { span: 1.0, hosts: vec![], slices: demand }, 1);
        if slice == 24 {
            assert!(aggregator.flush(0.0, 10.0).1.is_empty());
        }
    }
    let first: Vec<u16> = aggregator.flush(1.0, 10.0).1.iter().map(|total| total.slice.0).collect();
    assert_eq!(first, (0..10).collect::<Vec<_>>());
    let rest: f64 = (0..10).flat_map(|_| aggregator.flush(1.0, 10.0).1).map(|total| total.operations).sum();
    assert_eq!(rest, 80.0);
}
