use super::*;
use railhub_proto::HostLoad;

fn report(span: f64, tries: u32) -> LoadReport {
    let host = "127.0.0.1:8000".to_owned();
    let hosts = vec![HostLoad {
        host,
        attempts: tries,
        failed: 0,
        success_time: 0.1 * f64::from(tries),
        utilization: None,
    }];
    LoadReport { span, hosts, slices: vec![SliceLoad { slice: 3, class: 0, operations: tries }] }
}

#[test]
fn what_cannot_be_is_not_believed() {
    assert!(validate(&report(1.0, 3)).is_ok());
    assert!(validate(&report(-1.0, 3)).is_err() && validate(&report(f64::NAN, 3)).is_err());
    let mut lies = report(1.0, 3);
    lies.hosts[0].failed = 4;
    assert!(validate(&lies).is_err());
    let mut wraps = report(1.0, 3);
    wraps.slices[0].class = 256;
    assert!(validate(&wraps).is_err());
}
