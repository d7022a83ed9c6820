use super::*;
use crate::decision::assignment::UNREPORTED_TIMEOUT;
use crate::decision::load_report::{covered_span, DEMAND_AVERAGING, MIN_REPORT_SPAN};
use crate::decision::service_time::SERVICE_TIME_AVERAGING;

fn rate(controller: &Controller, slice: u16) -> f64 {
    controller.slices[&SliceId(slice)].admitted_rate(&controller.admission.rates)
}

#[test]
fn unreported_slices_have_mean_reported_rate() {
    let mut controller = controller(config());
    set_load(&mut controller, 101.0, 2.0, 0.1);
    let assigned = |k| SliceAssignment::Assigned { slice: SliceId(k), entries: vec![(host(1), 1.0).into()] };
    let assignments = (0..6).map(assigned).collect();
    controller.handle_batch(
        &EventBatch { now: 101.1, assignments, ..EventBatch::default() },
        &mut RecordedCommands::default(),
    );
    assert_eq!((rate(&controller, 0), rate(&controller, 7)), (2.0, 2.0));
    let owned_slices = f64::from(owned_slice_count(&controller, 1) as u16);
    assert_eq!(controller.loads(101.1)[&host(1)].demand, owned_slices * 2.0);
    let report = SliceLoadReport { slice: SliceId(0), class: ClassId(0), operations: 5.0, span: 1.0 };
    controller.handle_batch(
        &EventBatch { slice_loads: vec![report], ..tick(103.5) },
        &mut RecordedCommands::default(),
    );
    assert_eq!((rate(&controller, 0), rate(&controller, 1)), (5.0, 2.0));
    // A slice without a report for `UNREPORTED_TIMEOUT` has no traffic.
    controller.handle_batch(&tick(101.1 + UNREPORTED_TIMEOUT), &mut RecordedCommands::default());
    assert_eq!(rate(&controller, 1), 0.0);
}

#[test]
fn reports_count_only_since_slice_assignment() {
    let mut controller = controller(config());
    let assigned = SliceAssignment::Assigned { slice: SliceId(0), entries: vec![(host(1), 1.0).into()] };
    controller.handle_batch(
        &EventBatch { assignments: vec![assigned], ..tick(110.0) },
        &mut RecordedCommands::default(),
    );
    // The report of slice 0 counts for the one second since its assignment; the report of slice 1 counts in full.
    let report = |k| SliceLoadReport { slice: SliceId(k), class: ClassId(0), operations: 6.0, span: 5.0 };
    controller.handle_batch(
        &EventBatch { slice_loads: vec![report(0), report(1)], ..tick(112.0) },
        &mut RecordedCommands::default(),
    );
    let rate = |k: u16| rate(&controller, k);
    assert!((rate(0) - 6.0).abs() < 1e-9 && (rate(1) - 1.2).abs() < 1e-9, "{} {}", rate(0), rate(1));
    // The span of the first report after a start is shortened too, or the host would appear to have few operations in
    // flight.
    assert_eq!(covered_span(103.0, controller.first_assigned_at, 5.0), 2.0);
    assert_eq!(covered_span(100.3, controller.first_assigned_at, 5.0), MIN_REPORT_SPAN);
}

#[test]
fn service_time_is_independent_of_zone_report_timing() {
    // A busy host must not appear slower because the reports of its zones arrive separately.
    let mut host = Host::new(&entry(1, Phase::Ready, None));
    for (k, zone) in [0, 1, 0, 1, 0, 1].into_iter().enumerate() {
        let report = HostLoadReport {
            zone: ZoneId(zone),
            span: 2.0,
            cpu_utilization: Some(0.5),
            ..load_report(1, 0.0)
        };
        host.service_time.add_report(10.0 + k as f64, &report, 4.0, 1.0);
    }
    // Half of four cores divided by 20 operations per second.
    assert!((host.service_time.read(16.0, 0.1) - 0.1).abs() < 0.02, "{}", host.service_time.read(16.0, 0.1));
}

#[test]
fn slice_rate_is_weighted_by_reported_span() {
    let mut demand = DecayingRate::default();
    demand.add(100.0, 10.0, 1.0, DEMAND_AVERAGING);
    demand.add(106.0, 60.0, 6.0, DEMAND_AVERAGING);
    assert!((demand.per_second() - 10.0).abs() < 1e-9);
}

#[test]
fn service_time_reverts_to_typical_without_reports() {
    // A host that lost its slices is no longer reported and must not appear slow forever.
    let mut host = Host::new(&entry(1, Phase::Ready, None));
    host.service_time.core_time = DecayingSum { value: 50.0, updated_at: 10.0 };
    host.service_time.completed = DecayingSum { value: 50.0, updated_at: 10.0 };
    assert!(host.service_time.read(10.0, 0.1) > 0.9);
    assert!(host.service_time.read(10.0 + 6.0 * SERVICE_TIME_AVERAGING, 0.1) < 0.13);
}
