//! Measures the simulated seconds per second of one core, by fleet size. Prints a table and asserts nothing, since a
//! timed test would fail on a busy machine.
use railhub_ini::Document;
use railhub_scenario::Scenario;
use railhub_simulator::{run, Policy, TimingModel};
use std::path::Path;
use std::time::Instant;

/// Fleet sizes in hosts. There are twice as many proxies and six times as many slices; the rate follows the size.
const HOST_COUNTS: [usize; 5] = [38, 75, 150, 600, 1500];
/// Operations per second and host: 2,000 per second for 150 hosts.
const RATE_PER_HOST: f64 = 13.33;
/// Length of the scenario.
const LENGTH_SECONDS: f64 = 20.0;

fn main() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/large-hot-key.ini");
    let text = std::fs::read_to_string(path).expect("the scenario is readable");
    println!("hosts  operations/s  simulated seconds per second  microseconds per operation");
    for hosts in HOST_COUNTS {
        let scenario = scaled(&text, hosts);
        let start = Instant::now();
        let events = run(&scenario, &Policy::Controller, TimingModel::default()).expect("the run completes");
        let elapsed = start.elapsed().as_secs_f64();
        let is_end = |event: &&railhub_record::Event| {
            matches!(event.kind, Some(railhub_record::EventKind::OperationEnd(_)))
        };
        let operations = events.iter().filter(is_end).count() as f64;
        let (rate, speed, per_operation) =
            (operations / LENGTH_SECONDS, LENGTH_SECONDS / elapsed, elapsed * 1e6 / operations);
        println!("{hosts:>5} {rate:>13.0} {speed:>29.1} {per_operation:>27.1}");
    }
}

fn scaled(text: &str, hosts: usize) -> Scenario {
    let without_faults = text.split("[trouble").next().unwrap_or(text);
    let set_key = |text: String, key: &str, value: String| {
        let line = |line: &str| match line.starts_with(&format!("{key} = ")) {
            true => format!("{key} = {value}"),
            false => line.to_owned(),
        };
        text.lines().map(line).collect::<Vec<_>>().join("\n")
    };
    let text = set_key(without_faults.to_owned(), "hosts", hosts.to_string());
    let text = set_key(text, "proxies", (hosts * 2).to_string());
    let text = set_key(text, "slices", (hosts * 6).to_string());
    let text = set_key(text, "length", LENGTH_SECONDS.to_string());
    let document = Document::parse("scaled.ini", &text).expect("readable");
    let mut scenario = Scenario::read(&document).expect("a valid scenario");
    // Scales the work of an operation so that the rate gives the same load.
    let rate = RATE_PER_HOST * hosts as f64;
    let work: f64 = scenario.classes.iter().map(|class| class.share * class.work).sum();
    let capacity =
        railhub_scenario::draw::capacity(&railhub_scenario::draw::hosts(&scenario, scenario.hosts, "hosts"));
    let scale = scenario.load * capacity / (rate * work);
    scenario.classes.iter_mut().for_each(|class| class.work *= scale);
    scenario.limits.max_backlog *= (hosts as f64 / 150.0).powi(2).max(1.0);
    scenario
}
