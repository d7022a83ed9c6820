use super::*;
use railhub_ini::Document;
use railhub_proto::SliceLoad;
use railhub_trace::file;

fn settings(path: &str) -> ControllerSettings {
    let text = format!(
        "[steward]\nroster = 127.0.0.1:1\nstore = 127.0.0.1:2\nslices = 4\ntraffic = {path}\n\
         [class view]\ncontract_time = 1\n"
    );
    ControllerSettings::read(&Document::parse("s.ini", &text).expect("valid syntax")).expect("valid settings")
}

fn report(slice: u32, class: u32) -> LoadReport {
    let demand = vec![SliceLoad { slice, class, operations: 30 }];
    LoadReport { span: 2.0, hosts: Vec::new(), slices: demand }
}

#[test]
fn records_report_entries_with_valid_slices_classes_and_zones() {
    let path = std::env::temp_dir().join(format!("railhub-load-reports-{}.traffic", std::process::id()));
    let settings = settings(&path.display().to_string());
    let mut writer =
        TrafficWriter::start(&settings, 10.0).expect("writable file").expect("the settings name a file");
    writer.record(15.0, ProxyId(3), ZoneId(1), &report(2, 0));
    writer.record(11.0, ProxyId(3), ZoneId(1), &report(0, 0));
    for invalid in [report(4, 0), report(1, 1)] {
        writer.record(15.0, ProxyId(3), ZoneId(1), &invalid);
    }
    writer.record(15.0, ProxyId(3), ZoneId(9000), &report(1, 0));
    assert_eq!(writer.dropped, 1, "the zone number is over the limit of the file");
    drop(writer);
    let opened = file::open(&path).expect("valid traffic file");
    std::fs::remove_file(&path).expect("the file exists");
    assert!(!opened.truncated);
    let rows = opened.trace.rows.iter();
    let recorded: Vec<_> = rows.map(|row| (row.at, row.slice, row.zone, row.count, row.span)).collect();
    assert_eq!(recorded, [(1.0, 0, 1, 30, 1.0), (5.0, 2, 1, 30, 2.0)]);
}

#[test]
fn restart_keeps_the_files_of_earlier_processes() {
    let folder = std::env::temp_dir().join(format!("railhub-restart-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("writable temporary folder");
    let path = folder.join("ops");
    let settings = settings(&path.display().to_string());
    for slice in 0..3u32 {
        let mut writer =
            TrafficWriter::start(&settings, 10.0).expect("writable file").expect("the settings name a file");
        writer.record(12.0 + f64::from(slice), ProxyId(3), ZoneId(1), &report(slice, 0));
        drop(writer);
    }
    let slice_in =
        |name: &str| file::open(&folder.join(name)).expect("valid traffic file").trace.rows[0].slice;
    assert_eq!(["ops.1", "ops.2", "ops"].map(slice_in), [0, 1, 2]);
    std::fs::remove_dir_all(folder).expect("the folder exists");
}

#[test]
fn start_fails_if_the_file_cannot_be_created() {
    let error = TrafficWriter::start(&settings("/nowhere/at/all"), 0.0).err().expect("an error");
    assert!(error.to_string().starts_with("/nowhere/at/all: "));
}
