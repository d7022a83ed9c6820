use super::*;
use crate::draw;
use railhub_ini::Document;
use railhub_trace::file;
use std::sync::Arc;

const TEXT: &str = "[day]\nlength = 5\n[fleet]\nhosts = 3\nproxies = 4\nslices = 6\nzones = a, b\n\
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
    file::save(&file, traffic).expect("writable");
    let text = TEXT.replace("FILE", file.file_name().and_then(|n| n.to_str()).expect("a name"));
    let document = Document::parse("d.ini", &text.replace(change.0, change.1)).expect("readable");
    let scenario = Scenario::read_in_folder(&document, &std::env::temp_dir());
    std::fs::remove_file(&file).expect("there");
    scenario.map_err(|e| e.to_string())
}

#[test]
fn operations_come_as_they_were_recorded_until_the_day_ends() {
    let rows = vec![row(0.5, 4), row(0.6, 9), row(7.0, 4)];
    let scenario = scenario("plain", &traffic(rows), ("", "")).expect("a good day");
    let arrivals = draw::arrivals(&scenario, 1.0);
    let seen: Vec<_> = arrivals.iter().map(|a| (a.at, a.proxy, a.drawn.key, a.drawn.work)).collect();
    assert_eq!(seen, [(0.5, 3, 4, 0.02), (0.6, 3, 9, 0.02)]);
    assert_eq!(arrivals[1].drawn.slice, 3);
}

#[test]
fn what_sums_lack_is_drawn_within_their_span() {
    let sums = TraceRow { span: 2.0, count: 40, key: None, work: None, ..row(4.0, 5) };
    let scenario =
        scenario("sums", &traffic(vec![sums]), ("proxies = 4", "proxies = 8")).expect("a good day");
    let arrivals = draw::arrivals(&scenario, 1.0);
    assert_eq!(arrivals.len(), 40);
    assert!(arrivals.iter().all(|a| (2.0..=4.0).contains(&a.at) && a.proxy % 2 == 1 && a.drawn.slice == 5));
    assert!(arrivals.iter().all(|a| a.drawn.key / scenario.keys_per_slice as u64 == 5 && a.drawn.work > 0.0));
}

#[test]
fn a_hot_key_strikes_recorded_operations_too() {
    let rows = (0..1000u32).map(|n| row(f64::from(n) * 0.004, u64::from(n))).collect();
    let hot = "[class view]\n";
    let with = "[trouble hot]\nkind = hot_key\nat = 0\nfor = 9\nshare = 0.5\n[class view]\n";
    let scenario = scenario("hot", &traffic(rows), (hot, with)).expect("a good day");
    let struck = draw::arrivals(&scenario, 1.0).iter().filter(|a| a.drawn.key == u64::MAX / 2).count();
    assert!((400..600).contains(&struck), "{struck}");
}

#[test]
fn what_does_not_fit_the_day_is_named() {
    let traffic = traffic(vec![row(0.5, 4)]);
    let fault = |name: &str, change| scenario(name, &traffic, change).expect_err("wrong");
    assert!(fault("class", ("class view", "class look")).contains("has the class 'view', this day has not"));
    assert!(fault("zone", ("zones = a, b", "zones = a, c")).contains("has the zone 'b'"));
    assert!(fault("share", ("[kind k]", "share = 0.3\n[kind k]")).contains("share and shape may not"));
    assert!(fault("none", ("traffic = ", "traffic = nowhere-")).starts_with("d.ini:9: [load] traffic"));
}

#[test]
fn a_record_becomes_traffic_that_brings_all_its_operations_again() {
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
    let scenario = scenario("record", &traffic(vec![row(0.5, 4)]), ("", "")).expect("a good day");
    let limits = Limits { from: 2.0, until: 7.0, ..scenario.limits.clone() };
    let events = [end(1, 2.25), end(2, 4.5), end(3, 7.0008)];
    let recorded = trace_from_recording(&events, &limits);
    assert_eq!(recorded.header.zones, ["a", "b"]);
    let again = Scenario { replay: Some(Arc::new(recorded)), ..scenario };
    let arrivals = draw::arrivals(&again, 1.0);
    let seen: Vec<_> = arrivals.iter().map(|a| (a.at, a.drawn.key, a.proxy, a.drawn.work)).collect();
    assert_eq!(seen, [(0.25, 1, 3, 0.02), (2.5, 2, 3, 0.02), (4.999, 3, 3, 0.02)]);
}

#[test]
fn another_number_of_slices_keeps_a_key_together() {
    let of = |key: u64| slice_of(&row(0.0, key), 6, 10);
    assert_eq!(of(77), of(77));
    let used: std::collections::BTreeSet<u32> = (0..200).map(of).collect();
    assert_eq!(used.len(), 10);
}
