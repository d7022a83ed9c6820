use super::*;
use crate::draw;
use railhub_ini::Document;
use railhub_trace::file;
use std::sync::Arc;

const SCENARIO: &str = "[day]\nlength = 5\n[fleet]\nhosts = 3\nproxies = 4\nslices = 6\nzones = a, b\n\
    [load]\ntraffic = FILE\n[kind k]\ncores = 2\n[class view]\nwork = 0.05\ncontract_time = 0.5\nhard_stop = 1\n";

fn row(at: f64, key: u64) -> TraceRow {
    let (slice, work) = ((key % 6) as u32, Some(0.02));
    TraceRow { at, class: 0, slice, zone: 1, proxy: 3, key: Some(key), work, count: 1, span: 0.0 }
}

fn traffic(rows: Vec<TraceRow>) -> Trace {
    let (classes, zones) = (vec!["view".into()], vec!["a".into(), "b".into()]);
    Trace { header: TraceHeader { classes, zones, slices: 6, proxies: 4, length: 9.0 }, rows }
}

fn scenario(name: &str, traffic: &Trace, change: (&str, &str)) -> Result<Scenario, String> {
    let file = std::env::temp_dir().join(format!("railhub-replay-{}-{name}", std::process::id()));
    file::save(&file, traffic).expect("the file is written");
    let text =
        SCENARIO.replace("FILE", file.file_name().and_then(|n| n.to_str()).expect("a file name in UTF-8"));
    let document =
        Document::parse("scenario.ini", &text.replace(change.0, change.1)).expect("valid INI text");
    let scenario = Scenario::read_in_folder(&document, &std::env::temp_dir());
    std::fs::remove_file(&file).expect("the file is removed");
    scenario.map_err(|e| e.to_string())
}

#[test]
fn replays_recorded_operations_until_the_scenario_ends() {
    let rows = vec![row(0.5, 4), row(0.6, 9), row(7.0, 4)];
    let scenario = scenario("plain", &traffic(rows), ("", "")).expect("a valid scenario");
    let arrivals = draw::arrivals(&scenario, 1.0);
    let seen: Vec<_> = arrivals.iter().map(|a| (a.at, a.proxy, a.drawn.key, a.drawn.work)).collect();
    assert_eq!(seen, [(0.5, 3, 4, 0.02), (0.6, 3, 9, 0.02)]);
    assert_eq!(arrivals[1].drawn.slice, 3);
}

#[test]
fn draws_keys_work_and_times_that_load_reports_lack() {
    let load_report = TraceRow { span: 2.0, count: 40, key: None, work: None, ..row(4.0, 5) };
    let scenario = scenario("load-report", &traffic(vec![load_report]), ("proxies = 4", "proxies = 8"))
        .expect("a valid scenario");
    let arrivals = draw::arrivals(&scenario, 1.0);
    assert_eq!(arrivals.len(), 40);
    assert!(arrivals.iter().all(|a| (2.0..=4.0).contains(&a.at) && a.proxy % 2 == 1 && a.drawn.slice == 5));
    assert!(arrivals.iter().all(|a| a.drawn.key / scenario.keys_per_slice as u64 == 5 && a.drawn.work > 0.0));
}

#[test]
fn hot_key_fault_changes_recorded_operations() {
    let rows = (0..1000u32).map(|n| row(f64::from(n) * 0.004, u64::from(n))).collect();
    let class_header = "[class view]\n";
    let with_hot_key = "[trouble hot]\nkind = hot_key\nat = 0\nfor = 9\nshare = 0.5\n[class view]\n";
    let scenario = scenario("hot", &traffic(rows), (class_header, with_hot_key)).expect("a valid scenario");
    let hot_operations =
        draw::arrivals(&scenario, 1.0).iter().filter(|a| a.drawn.key == u64::MAX / 2).count();
    assert!((400..600).contains(&hot_operations), "{hot_operations}");
}

#[test]
fn diagnostics_name_traffic_that_does_not_fit_the_scenario() {
    let traffic = traffic(vec![row(0.5, 4)]);
    let diagnostic = |name: &str, change| scenario(name, &traffic, change).expect_err("an invalid scenario");
    assert!(diagnostic("class", ("class view", "class look"))
        .contains("contains the class 'view', which the scenario does not define"));
    assert!(diagnostic("zone", ("zones = a, b", "zones = a, c"))
        .contains("contains the zone 'b', which the scenario does not define"));
    assert!(diagnostic("share", ("[kind k]", "share = 0.3\n[kind k]"))
        .contains("[load] traffic cannot be combined with share or shape"));
    assert!(diagnostic("none", ("traffic = ", "traffic = nowhere-"))
        .starts_with("scenario.ini:9: [load] traffic"));
}

#[test]
fn trace_from_a_recording_replays_all_its_operations() {
    let end = |n: u64, began: f64| Event {
        at: began + 0.1,
        kind: Some(EventKind::OperationEnd(railhub_record::OperationEnd {
            operation: n,
            slice: (n % 6) as u32,
            zone: 1,
            began,
            key: n,
            work: 0.02,
            proxy: 3,
            requests: 1,
            ..railhub_record::OperationEnd::default()
        })),
    };
    let scenario = scenario("recording", &traffic(vec![row(0.5, 4)]), ("", "")).expect("a valid scenario");
    let limits = Limits { from: 2.0, until: 7.0, ..scenario.limits.clone() };
    let events = [end(1, 2.25), end(2, 4.5), end(3, 7.0008)];
    let recorded = trace_from_recording(&events, &limits);
    assert_eq!(recorded.header.zones, ["a", "b"]);
    let replaying = Scenario { replay: Some(Arc::new(recorded)), ..scenario };
    let arrivals = draw::arrivals(&replaying, 1.0);
    let seen: Vec<_> = arrivals.iter().map(|a| (a.at, a.drawn.key, a.proxy, a.drawn.work)).collect();
    assert_eq!(seen, [(0.25, 1, 3, 0.02), (2.5, 2, 3, 0.02), (4.999, 3, 3, 0.02)]);
}

#[test]
fn maps_a_key_to_one_slice_if_the_number_of_slices_differs() {
    let slice = |key: u64| slice_of(&row(0.0, key), 6, 10);
    assert_eq!(slice(77), slice(77));
    let used_slices: std::collections::BTreeSet<u32> = (0..200).map(slice).collect();
    assert_eq!(used_slices.len(), 10);
}
