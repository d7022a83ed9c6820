//! How many simulated seconds a second of one core brings, by fleet size. Prints a table; asserts nothing: a
//! timed test would fail on a busy machine.
use railhub_ini::Document;
use railhub_scenario::Scenario;
use railhub_simulator::{run, Policy, TimingModel};
use std::path::Path;
use std::time::Instant;

/// Hosts of the sizes; proxies are twice as many and slices six times, and the rate is set for each size.
const SIZES: [usize; 5] = [38, 75, 150, 600, 1500];
/// Operations a second and host: 2,000 a second for 150 hosts.
const RATE_A_HOST: f64 = 13.33;
/// Seconds of a day.
const LENGTH: f64 = 20.0;

fn main() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/large-hot-key.ini");
    let text = std::fs::read_to_string(path).expect("a day of ours");
    println!("hosts  operations/s  simulated seconds a second  microseconds an operation");
    for hosts in SIZES {
        let day = sized(&text, hosts);
        let began = Instant::now();
        let events = run(&day, &Policy::Controller, TimingModel::default()).expect("it runs");
        let took = began.elapsed().as_secs_f64();
        let is_end = |event: &&railhub_record::Event| {
            matches!(event.kind, Some(railhub_record::EventKind::OperationEnd(_)))
        };
        let operations = events.iter().filter(is_end).count() as f64;
        let (rate, speed, each) = (operations / LENGTH, LENGTH / took, took * 1e6 / operations);
        println!("{hosts:>5} {rate:>13.0} {speed:>27.1} {each:>26.1}");
    }
}

fn sized(text: &str, hosts: usize) -> Scenario {
    let plain = text.split("[trouble").next().unwrap_or(text);
    let change = |text: String, key: &str, value: String| {
        let line = |line: &str| match line.starts_with(&format!("{key} = ")) {
            true => format!("{key} = {value}"),
            false => line.to_owned(),
        };
        text.lines().map(line).collect::<Vec<_>>().join("\n")
    };
    let text = change(plain.to_owned(), "hosts", hosts.to_string());
    let text = change(text, "proxies", (hosts * 2).to_string());
    let text = change(text, "slices", (hosts * 6).to_string());
    let text = change(text, "length", LENGTH.to_string());
    let document = Document::parse("sized.ini", &text).expect("readable");
    let mut day = Scenario::read(&document).expect("a good day");
    // Cores that fit the rate, at the same load.
    let rate = RATE_A_HOST * hosts as f64;
    let work: f64 = day.classes.iter().map(|class| class.share * class.work).sum();
    let power = railhub_scenario::draw::capacity(&railhub_scenario::draw::hosts(&day, day.hosts, "hosts"));
    let scale = day.load * power / (rate * work);
    day.classes.iter_mut().for_each(|class| class.work *= scale);
    day.limits.max_backlog *= (hosts as f64 / 150.0).powi(2).max(1.0);
    day
}
