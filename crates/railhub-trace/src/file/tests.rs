use super::blocks::{MAX_BLOCK_ROWS, TICKS_PER_SECOND};
use super::*;
use crate::samples::{row, trace};
use crate::TraceRow;
use proptest::prelude::*;

fn rows(count: usize) -> Vec<TraceRow> {
    (0..count).map(|n| row(n as f64 / 1000.0, (n % 2) as u32, (n * n % 91) as u64)).collect()
}

#[test]
fn round_trip_takes_fewer_than_14_bytes_per_row() {
    let trace = trace(rows(10_000));
    let bytes = write(Vec::new(), &trace).expect("writes to memory");
    let loaded = read("t", &bytes).expect("valid trace");
    assert!(loaded == LoadedTrace { trace, truncated: false });
    assert!(bytes.len() < 10_000 * 14, "{} bytes", bytes.len());
}

#[test]
fn truncated_file_gives_its_complete_blocks() {
    let trace = trace(rows(5000));
    let bytes = write(Vec::new(), &trace).expect("writes to memory");
    for end in (200..bytes.len()).step_by(997) {
        let loaded = read("t", &bytes[..end]).expect("complete blocks are readable");
        assert!(loaded.truncated);
        assert_eq!(loaded.trace.rows.len() % MAX_BLOCK_ROWS, if end > bytes.len() - 60 { 904 } else { 0 });
        assert!(trace.rows.starts_with(&loaded.trace.rows));
    }
    assert!(matches!(read("t", &bytes[..30]), Err(TraceError::Corrupt { block: 1, .. })));
}

#[test]
fn distinguishes_other_versions_from_other_files() {
    assert!(
        matches!(read("t", b"railhub traffic 9\nxyz"), Err(TraceError::UnsupportedVersion { version, .. }) if version == "9")
    );
    assert!(matches!(read("t", b"railhub record 1"), Err(TraceError::NotATrace(_))));
}

proptest! {
    #[test]
    fn rows_of_operations_and_aggregates_round_trip(
        drawn in prop::collection::vec((0..1_000_000u32, 0..2u32, prop::option::of(0..u64::MAX - 1), prop::option::of(0..9_000_000u32), 1..50u32), 0..60)
    ) {
        let to_row = |(at, class, key, work, count): (u32, u32, Option<u64>, Option<u32>, u32)| TraceRow {
            at: f64::from(at) / TICKS_PER_SECOND, class, slice: 1, zone: 0, proxy: 5, key,
            work: work.map(|work| f64::from(work) / TICKS_PER_SECOND), count, span: f64::from(at / 2) / TICKS_PER_SECOND,
        };
        let mut trace = trace(drawn.into_iter().map(to_row).collect());
        trace.sort();
        trace.header.length = 2.0;
        let bytes = write(Vec::new(), &trace).expect("writes to memory");
        prop_assert_eq!(read("t", &bytes).expect("valid trace").trace, trace);
    }

    #[test]
    fn corrupt_file_never_panics(position in 0..3000usize, byte in 0..=255u8) {
        let mut bytes = write(Vec::new(), &trace(rows(300))).expect("writes to memory");
        let position = position % bytes.len();
        bytes[position] = byte;
        let _ = read("t", &bytes);
    }
}
