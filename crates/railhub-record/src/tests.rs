use super::*;
use crate::format::MAGIC;

fn fault(name: &str) -> EventKind {
    EventKind::InjectedFault(InjectedFault {
        name: name.into(),
        active: true,
        note: String::new(),
        channel_slowdown: 0.0,
    })
}

#[test]
fn read_sorts_by_time_and_reports_damage() {
    let path = std::env::temp_dir().join(format!("railhub-record-{}", std::process::id()));
    let recorder = Recorder::start(Some(&path)).expect("created");
    recorder.record(2.0, fault("b"));
    recorder.record(1.0, fault("a"));
    recorder.finish().expect("written");
    let mut bytes = std::fs::read(&path).expect("readable");
    std::fs::remove_file(&path).expect("removable");
    let events = read_bytes("r", &bytes).expect("complete");
    assert_eq!(events.iter().map(|event| event.at).collect::<Vec<_>>(), [1.0, 2.0]);
    let complete = complete_bytes("r", &bytes[..bytes.len() - 1]).expect("a recording");
    assert_eq!(read_bytes("r", &bytes[..complete]).expect("complete blocks").len(), 1);
    assert_eq!(complete_bytes("r", &bytes).expect("a recording"), bytes.len());
    let mut too_long = bytes.clone();
    too_long[MAGIC.len() + 3] = 0xff;
    assert!(matches!(complete_bytes("r", &too_long), Err(RecordError::Damaged { number: 1, .. })));
    let last = bytes.len() - 1;
    assert!(matches!(read_bytes("r", &bytes[..last]), Err(RecordError::Damaged { number: 2, .. })));
    bytes[last] ^= 1;
    assert!(matches!(read_bytes("r", &bytes), Err(RecordError::Damaged { number: 2, .. })));
}
