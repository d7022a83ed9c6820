use super::*;
use crate::samples::{row, traffic};
use proptest::prelude::*;

fn rows(count: usize) -> Vec<Row> {
    (0..count).map(|n| row(n as f64 / 1000.0, (n % 2) as u32, (n * n % 91) as u64)).collect()
}

#[test]
fn what_is_written_is_read_and_takes_few_bytes_a_row() {
    let traffic = traffic(rows(10_000));
    let bytes = write(Vec::new(), &traffic).expect("memory");
    let opened = read("t", &bytes).expect("whole");
    assert!(opened == Opened { traffic, cut_off: false });
    assert!(bytes.len() < 10_000 * 14, "{} bytes", bytes.len());
}

#[test]
fn a_file_cut_anywhere_gives_the_whole_blocks_before_the_cut_and_says_so() {
    let traffic = traffic(rows(5000));
    let bytes = write(Vec::new(), &traffic).expect("memory");
    for end in (200..bytes.len()).step_by(997) {
        let opened = read("t", &bytes[..end]).expect("the part before the cut is good");
        assert!(opened.cut_off);
        assert_eq!(opened.traffic.rows.len() % BLOCK_ROWS, if end > bytes.len() - 60 { 904 } else { 0 });
        assert!(traffic.rows.starts_with(&opened.traffic.rows));
    }
    assert!(matches!(read("t", &bytes[..30]), Err(TrafficFault::Damaged(_, 1, _))));
}

#[test]
fn another_version_and_another_file_are_told_apart() {
    assert!(matches!(read("t", b"railhub traffic 9\nxyz"), Err(TrafficFault::Version(_, v)) if v == "9"));
    assert!(matches!(read("t", b"railhub record 1"), Err(TrafficFault::Foreign(_))));
}

proptest! {
    #[test]
    fn rows_of_sums_and_of_operations_come_back(
        all in prop::collection::vec((0..1_000_000u32, 0..2u32, prop::option::of(0..u64::MAX - 1), prop::option::of(0..9_000_000u32), 1..50u32), 0..60)
    ) {
        let one = |(at, class, key, work, count): (u32, u32, Option<u64>, Option<u32>, u32)| Row {
            at: f64::from(at) / STEPS, class, slice: 1, zone: 0, proxy: 5, key,
            work: work.map(|work| f64::from(work) / STEPS), count, span: f64::from(at / 2) / STEPS,
        };
        let mut traffic = traffic(all.into_iter().map(one).collect());
        traffic.sort();
        traffic.facts.length = 2.0;
        let bytes = write(Vec::new(), &traffic).expect("memory");
        prop_assert_eq!(read("t", &bytes).expect("whole").traffic, traffic);
    }

    #[test]
    fn a_damaged_file_is_a_fault_or_a_cut_never_a_panic(at in 0..3000usize, to in 0..=255u8) {
        let mut bytes = write(Vec::new(), &traffic(rows(300))).expect("memory");
        let at = at % bytes.len();
        bytes[at] = to;
        let _ = read("t", &bytes);
    }
}
