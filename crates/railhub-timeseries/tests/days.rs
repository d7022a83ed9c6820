//! A model's record of a bad day, as figures over time.
use railhub_invariants::limits;
use railhub_record::{Event, Limits};
use railhub_scenario::{draw, Scenario};
use railhub_simulator::{run, Physics, Policy};
use railhub_timeseries::{loads, over_time, tail, told};
use std::path::Path;

fn played(text: &str, policy: &Policy) -> (Scenario, Vec<Event>, Limits) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(text);
    let day = Scenario::open(&path).expect("a good script");
    let events = run(&day, policy, Physics::default()).expect("it runs");
    let limits = limits(&events).expect("limits come first").clone();
    (day, events, limits)
}

#[test]
fn a_key_that_gets_hot_is_named_as_what_came_just_before() {
    let (_, events, limits) = played("one-hot-key.ini", &Policy::Fixed);
    let lines = over_time(&events, &limits);
    let changes = told(&events, &limits, &lines);
    let first = changes.first().expect("service falls");
    assert!((9.0..=11.0).contains(&first.at), "{first:?}");
    assert!(first.service < first.service_before - 0.1, "{first:?}");
    let (when, what) = first.just_before.as_ref().expect("a cause");
    assert!((when - 10.0).abs() < 0.01);
    assert_eq!(what, "one key (hot_key) begins");
}

#[test]
fn a_day_adds_up() {
    let (day, events, limits) = played("first-bad-day.ini", &Policy::Steward);
    let lines = over_time(&events, &limits);
    let drawn = draw::arrivals(&day, draw::capacity(&draw::hosts(&day, day.hosts, "hosts"))).len();
    assert_eq!(lines.operations.iter().sum::<u32>() as usize, drawn);
    let tails = tail::by_class(&events, &limits);
    let counted: u64 = tails.iter().map(|tail| tail.figures().operations).sum();
    assert_eq!(counted as usize, drawn);
    assert!(lines.total_moves() > 10 && lines.withdrawals.iter().sum::<u32>() > 10);
    assert_eq!((lines.joined[20], lines.hosts[0], lines.hosts[8]), (24, 18, 16));
    assert!(lines.joined[30] < 24, "the steward is away: no stream stands");
    let loads = loads::by_host(&events, &limits);
    assert_eq!(loads.len(), 18 + 6);
    assert!(loads.windows(2).all(|two| two[0].load >= two[1].load) && loads[0].load < 1.5);
}

#[test]
fn without_a_steward_nothing_moves() {
    let (_, events, limits) = played("first-bad-day.ini", &Policy::Fixed);
    let lines = over_time(&events, &limits);
    assert_eq!((lines.total_moves(), lines.messages.iter().sum::<u32>()), (0, 0));
}
