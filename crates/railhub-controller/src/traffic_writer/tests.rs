use super::*;
use railhub_ini::Document;
use railhub_proto::SliceLoad;
use railhub_trace::file;

fn settings(path: &str) -> ControllerSettings {
    let text = format!(
        "[steward]\nroster = 127.0.0.1:1\nstore = 127.0.0.1:2\nslices = 4\ntraffic = {path}\n\
         [class view]\ncontract_time = 1\n"
    );
    ControllerSettings::read(&Document::parse("s.ini", &text).expect("readable")).expect("right")
}

fn report(slice: u32, class: u32) -> LoadReport {
    let demand = vec![SliceLoad { slice, class, operations: 30 }];
    LoadReport { span: 2.0, hosts: Vec::new(), slices: demand }
}

#[test]
fn sums_become_rows_and_nonsense_is_left_out() {
    let path = std::env::temp_dir().join(format!("railhub-sums-{}.traffic", std::process::id()));
    let settings = settings(&path.display().to_string());
    let mut writer = TrafficWriter::start(&settings, 10.0).expect("writable").expect("named");
    writer.record(15.0, ProxyId(3), ZoneId(1), &report(2, 0));
    writer.record(11.0, ProxyId(3), ZoneId(1), &report(0, 0));
    for bad in [report(4, 0), report(1, 1)] {
        writer.record(15.0, ProxyId(3), ZoneId(1), &bad);
    }
    writer.record(15.0, ProxyId(3), ZoneId(9000), &report(1, 0));
    assert_eq!(writer.dropped, 1, "a zone that the file cannot tell apart");
    drop(writer);
    let opened = file::open(&path).expect("a good file");
    std::fs::remove_file(&path).expect("there");
    assert!(!opened.truncated);
    let seen: Vec<_> = opened.trace.rows.iter().map(|r| (r.at, r.slice, r.zone, r.count, r.span)).collect();
    assert_eq!(seen, [(1.0, 0, 1, 30, 1.0), (5.0, 2, 1, 30, 2.0)]);
}

#[test]
fn a_steward_that_starts_again_does_not_write_over_what_the_earlier_one_wrote() {
    let folder = std::env::temp_dir().join(format!("railhub-again-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("writable");
    let path = folder.join("ops");
    let settings = settings(&path.display().to_string());
    for n in 0..3u32 {
        let mut writer = TrafficWriter::start(&settings, 10.0).expect("writable").expect("named");
        writer.record(12.0 + f64::from(n), ProxyId(3), ZoneId(1), &report(n, 0));
        drop(writer);
    }
    let slice = |name: &str| file::open(&folder.join(name)).expect("a good file").trace.rows[0].slice;
    assert_eq!(["ops.1", "ops.2", "ops"].map(slice), [0, 1, 2]);
    std::fs::remove_dir_all(folder).expect("ours");
}

#[test]
fn a_file_that_cannot_be_made_is_told_of_at_the_start() {
    let fault = TrafficWriter::start(&settings("/nowhere/at/all"), 0.0).err().expect("a fault");
    assert!(fault.to_string().starts_with("/nowhere/at/all: "));
}
