use super::*;
use crate::Trouble;

fn trouble(name: &str) -> What {
    What::Trouble(Trouble { name: name.into(), on: true, note: String::new(), channel_slower: 0.0 })
}

#[test]
fn a_file_reads_back_in_the_order_of_times_and_tells_of_damage() {
    let path = std::env::temp_dir().join(format!("railhub-record-{}", std::process::id()));
    let recorder = Recorder::start(Some(&path)).expect("a file");
    recorder.note(2.0, trouble("b"));
    recorder.note(1.0, trouble("a"));
    recorder.finish().expect("written");
    let mut bytes = std::fs::read(&path).expect("there");
    std::fs::remove_file(&path).expect("there");
    let events = read_bytes("r", &bytes).expect("whole");
    assert_eq!(events.iter().map(|event| event.at).collect::<Vec<_>>(), [1.0, 2.0]);
    let cut = whole_blocks("r", &bytes[..bytes.len() - 1]).expect("ours");
    assert_eq!(read_bytes("r", &bytes[..cut]).expect("whole blocks").len(), 1);
    assert_eq!(whole_blocks("r", &bytes).expect("ours"), bytes.len());
    let mut long = bytes.clone();
    long[MAGIC.len() + 3] = 0xff;
    assert!(matches!(whole_blocks("r", &long), Err(RecordFault::Damaged { number: 1, .. })));
    let last = bytes.len() - 1;
    assert!(matches!(read_bytes("r", &bytes[..last]), Err(RecordFault::Damaged { number: 2, .. })));
    bytes[last] ^= 1;
    assert!(matches!(read_bytes("r", &bytes), Err(RecordFault::Damaged { number: 2, .. })));
}
