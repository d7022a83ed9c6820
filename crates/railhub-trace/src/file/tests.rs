use super::blocks::{MAX_BLOCK_ROWS, TICKS_PER_SECOND};
use super::*;
use crate::samples::{row, traffic};
use crate::TraceRow;
use proptest::prelude::*;

fn rows(count: usize) -> Vec<TraceRow> {
    (0..count).map(|n| row(n as f64 / 1000.0, (n % 2) as u32, (n * n % 91) as u64)).collect()
}

#[test]
fn what_is_written_is_read_and_takes_few_bytes_a_row() {
    let traffic = traffic(rows(10_000));
    let bytes = write(Vec::new(), &traffic).expect("memory");
    let opened = read("t", &bytes).expect("whole");
    assert!(opened == LoadedTrace { trace: traffic, truncated: false });
    assert!(bytes.len() < 10_000 * 14, "{} bytes", bytes.len());
}

#[test]
fn a_file_cut_anywhere_gives_the_whole_blocks_before_the_cut_and_says_so() {
    let traffic = traffic(rows(5000));
    let bytes = write(Vec::new(), &traffic).expect("memory");
    for end in (200..bytes.len()).step_by(997) {
        let opened = read("t", &bytes[..end]).expect("the part before the cut is good");
        assert!(opened.truncated);
        assert_eq!(opened.trace.rows.len() % MAX_BLOCK_ROWS, if end > bytes.len() - 60 { 904 } else { 0 });
        assert!(traffic.rows.starts_with(&opened.trace.rows));
    }
    assert!(matches!(read("t", &bytes[..30]), Err(TraceError::Corrupt { block: 1, .. })));
}

#[test]
fn another_version_and_another_file_are_told_apart() {
    assert!(
        matches!(read("t", b"railhub traffic 9\nxyz"), Err(TraceError::UnsupportedVersion { version, .. }) if version == "9")
    );
    assert!(matches!(read("t", b"railhub record 1"), Err(TraceError::NotATrace(_))));
}

proptest! {
    #[test]
    fn rows_of_sums_and_of_operations_come_back(
        all in prop::collection::vec((0..1_000_000u32, 0..2u32, prop::option::of(0..u64::MAX - 1), prop::option::of(0..9_000_000u32), 1..50u32), 0..60)
    ) {
        let one = |(at, class, key, work, count): (u32, u32, Option<u64>, Option<u32>, u32)| TraceRow {
            at: f64::from(at) / TICKS_PER_SECOND, class, slice: 1, zone: 0, proxy: 5, key,
            work: work.map(|work| f64::from(work) / TICKS_PER_SECOND), count, span: f64::from(at / 2) / TICKS_PER_SECOND,
        };
        let mut traffic = traffic(all.into_iter().map(one).collect());
        traffic.sort();
        traffic.header.length = 2.0;
        let bytes = write(Vec::new(), &traffic).expect("memory");
        prop_assert_eq!(read("t", &bytes).expect("whole").trace, traffic);
    }

    #[test]
    fn a_damaged_file_is_a_fault_or_a_cut_never_a_panic(at in 0..3000usize, to in 0..=255u8) {
        let mut bytes = write(Vec::new(), &traffic(rows(300))).expect("memory");
        let at = at % bytes.len();
        bytes[at] = to;
        let _ = read("t", &bytes);
    }
}
