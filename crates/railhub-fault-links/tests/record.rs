//! The lines of the record as literals: scripts read them, so they must stay when names in the code change.
use railhub_fault_links::tcp::TcpLink;
use railhub_fault_links::{Delivery, Faults, LinkController};
use std::io::Write;
use std::sync::{Arc, Mutex};

/// A writer that keeps the bytes in memory.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no holder panics").write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The written lines without their times.
fn lines(buffer: &SharedBuffer) -> Vec<String> {
    let text = String::from_utf8(buffer.0.lock().expect("no holder panics").clone()).expect("text");
    let without_time = |line: &str| {
        let (before, after) = line.split_once(r#""at":"#).expect("each line has a time");
        let (_, after) = after.split_once(',').expect("a time is not the last field");
        format!("{before}{after}")
    };
    text.lines().map(without_time).collect()
}

#[test]
fn record_lines() {
    let buffer = SharedBuffer::default();
    let link_controller = Arc::new(LinkController::new(7, Some(Box::new(buffer.clone()))));
    let faults = Faults {
        lost: 0.25,
        reordered: 0.5,
        duplicated: 1.0,
        delay: 0.01,
        jitter: 0.02,
        bytes_per_second: 1e6,
        cut: false,
    };
    link_controller.set("a", "b", faults);
    for _ in 0..20 {
        link_controller.schedule("a", "b", 100);
    }
    link_controller.set("b", "a", Faults { cut: true, ..Faults::default() });
    link_controller.schedule("b", "a", 100);
    let link = TcpLink::open(link_controller.clone(), "a", "b", None).expect("a port");
    assert_eq!(link.reset(), 0);
    link_controller.finish();
    let expected = [
        r#"{"what":"way","from":"a","to":"b","faults":{"lost":0.25,"reordered":0.5,"doubled":1.0,"delay":0.01,"jitter":0.02,"rate":1000000.0,"cut":false}}"#,
        r#"{"what":"way","from":"b","to":"a","faults":{"lost":0.0,"reordered":0.0,"doubled":0.0,"delay":0.0,"jitter":0.0,"rate":0.0,"cut":true}}"#,
        r#"{"what":"resets","a":"a","b":"b","connections":0}"#,
        r#"{"what":"counts","from":"a","to":"b","counts":{"passed":13,"lost":7,"cut":0,"overrun":0,"reordered":8,"doubled":13,"bytes":1300}}"#,
        r#"{"what":"counts","from":"b","to":"a","counts":{"passed":0,"lost":0,"cut":1,"overrun":0,"reordered":0,"doubled":0,"bytes":0}}"#,
    ];
    assert_eq!(lines(&buffer), expected);
}

#[test]
fn delivery_json() {
    let json = serde_json::to_string(&[Delivery::Delivered, Delivery::Dropped]).expect("serializes");
    assert_eq!(json, r#"["passes","lost"]"#);
}

#[test]
fn faults_are_read_with_defaults() {
    let text = r#"{"lost":0.1,"reordered":0.2,"doubled":0.3,"delay":0.4,"jitter":0.5,"rate":6.0,"cut":true}"#;
    let faults: Faults = serde_json::from_str(text).expect("parses");
    assert_eq!(serde_json::to_string(&faults).expect("serializes"), text);
    assert_eq!(serde_json::from_str::<Faults>("{}").expect("parses"), Faults::default());
}
