use super::*;
use railhub_proto::HostLoad;

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
fn rejects_invalid_reports() {
    assert!(validate(&report(1.0, 3)).is_ok());
    assert!(validate(&report(-1.0, 3)).is_err() && validate(&report(f64::NAN, 3)).is_err());
    let mut too_many_failed = report(1.0, 3);
    too_many_failed.hosts[0].failed = 4;
    assert!(validate(&too_many_failed).is_err());
    let mut class_too_large = report(1.0, 3);
    class_too_large.slices[0].class = 256;
    assert!(validate(&class_too_large).is_err());
}
