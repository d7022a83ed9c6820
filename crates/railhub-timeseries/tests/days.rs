//! Checks time series, latencies and host loads of simulated scenarios.
use railhub_invariants::limits;
use railhub_record::{Event, Limits};
use railhub_scenario::{draw, Scenario};
use railhub_simulator::{run, Policy, TimingModel};
use railhub_timeseries::{host_load, latency, service_changes, time_series};
use std::path::Path;

fn simulate(file: &str, policy: &Policy) -> (Scenario, Vec<Event>, Limits) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(file);
    let scenario = Scenario::open(&path).expect("valid scenario");
    let events = run(&scenario, policy, TimingModel::default()).expect("simulation succeeds");
    let limits = limits(&events).expect("the recording has limits").clone();
    (scenario, events, limits)
}

#[test]
fn hot_key_is_the_event_preceding_the_fall_of_service() {
    let (_, events, limits) = simulate("one-hot-key.ini", &Policy::Fixed);
    let series = time_series(&events, &limits);
    let changes = service_changes(&events, &limits, &series);
    let first = changes.first().expect("service falls");
    assert!((9.0..=11.0).contains(&first.at), "{first:?}");
    assert!(first.service < first.service_before - 0.1, "{first:?}");
    let preceding = first.preceding_event.as_ref().expect("a preceding event");
    assert!((preceding.at - 10.0).abs() < 0.01);
    assert_eq!(preceding.description, "one key (hot_key) begins");
}

#[test]
fn series_and_histograms_count_every_operation() {
    let (scenario, events, limits) = simulate("first-bad-day.ini", &Policy::Controller);
    let series = time_series(&events, &limits);
    let arrivals =
        draw::arrivals(&scenario, draw::capacity(&draw::hosts(&scenario, scenario.hosts, "hosts"))).len();
    assert_eq!(series.operations.iter().sum::<u32>() as usize, arrivals);
    let histograms = latency::by_class(&events, &limits);
    let counted: u64 = histograms.iter().map(|histogram| histogram.percentiles().operations).sum();
    assert_eq!(counted as usize, arrivals);
    assert!(series.total_moves() > 10 && series.cleared_lines.iter().sum::<u32>() > 10);
    assert_eq!((series.connected_proxies[20], series.hosts[0], series.hosts[8]), (24, 18, 16));
    assert!(series.connected_proxies[30] < 24, "proxies lose their streams while the controller is down");
    let loads = host_load::by_host(&events, &limits);
    assert_eq!(loads.len(), 18 + 6);
    assert!(loads.windows(2).all(|pair| pair[0].load >= pair[1].load) && loads[0].load < 1.5);
}

#[test]
fn fixed_policy_sends_no_messages_and_moves_no_slices() {
    let (_, events, limits) = simulate("first-bad-day.ini", &Policy::Fixed);
    let series = time_series(&events, &limits);
    assert_eq!((series.total_moves(), series.messages.iter().sum::<u32>()), (0, 0));
}
