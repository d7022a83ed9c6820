//! Time series of simulated recordings.
use railhub_invariants::limits;
use railhub_record::{Event, Limits};
use railhub_scenario::{draw, Scenario};
use railhub_simulator::{run, Policy, TimingModel};
use railhub_timeseries::{host_load, latency, service_changes, time_series};
use std::path::Path;

fn played(text: &str, policy: &Policy) -> (Scenario, Vec<Event>, Limits) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(text);
    let day = Scenario::open(&path).expect("a good script");
    let events = run(&day, policy, TimingModel::default()).expect("it runs");
    let limits = limits(&events).expect("limits come first").clone();
    (day, events, limits)
}

#[test]
fn a_key_that_gets_hot_is_named_as_what_came_just_before() {
    let (_, events, limits) = played("one-hot-key.ini", &Policy::Fixed);
    let series = time_series(&events, &limits);
    let changes = service_changes(&events, &limits, &series);
    let first = changes.first().expect("service falls");
    assert!((9.0..=11.0).contains(&first.at), "{first:?}");
    assert!(first.service < first.service_before - 0.1, "{first:?}");
    let preceding = first.preceding_event.as_ref().expect("a cause");
    assert!((preceding.at - 10.0).abs() < 0.01);
    assert_eq!(preceding.description, "one key (hot_key) begins");
}

#[test]
fn a_day_adds_up() {
    let (day, events, limits) = played("first-bad-day.ini", &Policy::Controller);
    let series = time_series(&events, &limits);
    let drawn = draw::arrivals(&day, draw::capacity(&draw::hosts(&day, day.hosts, "hosts"))).len();
    assert_eq!(series.operations.iter().sum::<u32>() as usize, drawn);
    let histograms = latency::by_class(&events, &limits);
    let counted: u64 = histograms.iter().map(|histogram| histogram.percentiles().operations).sum();
    assert_eq!(counted as usize, drawn);
    assert!(series.total_moves() > 10 && series.cleared_lines.iter().sum::<u32>() > 10);
    assert_eq!((series.connected_proxies[20], series.hosts[0], series.hosts[8]), (24, 18, 16));
    assert!(series.connected_proxies[30] < 24, "the controller is down: no stream stands");
    let loads = host_load::by_host(&events, &limits);
    assert_eq!(loads.len(), 18 + 6);
    assert!(loads.windows(2).all(|two| two[0].load >= two[1].load) && loads[0].load < 1.5);
}

#[test]
fn nothing_moves_without_a_controller() {
    let (_, events, limits) = played("first-bad-day.ini", &Policy::Fixed);
    let series = time_series(&events, &limits);
    assert_eq!((series.total_moves(), series.messages.iter().sum::<u32>()), (0, 0));
}
