use super::*;

#[test]
fn writes_every_command() {
    let mut writer = CommandWriter::default();
    let host = HostId::new("10.0.0.1:80").expect("valid host name");
    writer.set_weight(SliceId(1), host, 0.5);
    writer.assign_table(SliceId(0), ProxyId(4));
    writer.set_admission_rate(ClassId(1), 0.75, RetryPolicy::AfterFailure);
    writer.exclude_host(host);
    writer.readmit_host(host);
    writer.set_barrier(BarrierId(65535));
    writer.check_health(host);
    writer.set_timer(0.5, TimerId(9));
    for event in [
        DecisionEvent::HealthCheckPassed(host),
        DecisionEvent::HealthChecksFailed(host),
        DecisionEvent::OutlierEjected(host),
        DecisionEvent::EjectionEnded(host),
        DecisionEvent::SlicesFailedOver(2),
        DecisionEvent::HostExcluded(host),
        DecisionEvent::HostReadmitted(host),
        DecisionEvent::ExclusionsRepeated(3),
    ] {
        writer.report(event);
    }
    let lines = [
        "SET_LINE sheet=1 host=10.0.0.1:80 w=0.5",
        "HAND_TABLE sheet=0 only=0 edge=4",
        "THROTTLE sheet=65535 only=2 amount=0.75 second_try=2",
        "BENCH host=10.0.0.1:80 on=1",
        "BENCH host=10.0.0.1:80 on=0",
        "BARRIER rev=65535 on=1",
        "INSPECT host=10.0.0.1:80",
        "AFTER in_us=500000 ref=9",
        "TRACE words=host 10.0.0.1:80 answers",
        "TRACE words=host 10.0.0.1:80 is down: probes fail",
        "TRACE words=host 10.0.0.1:80 is the outlier: withdrawn",
        "TRACE words=withdrawal of 10.0.0.1:80 ends",
        "TRACE words=2 slices handed over",
        "TRACE words=host 10.0.0.1:80 excluded",
        "TRACE words=host 10.0.0.1:80 readmitted",
        "TRACE words=exclusions of 3 hosts repeated",
    ];
    assert_eq!(writer.lines.lines().collect::<Vec<_>>(), lines);
}
