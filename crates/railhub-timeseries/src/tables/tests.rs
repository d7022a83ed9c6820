use super::*;
use railhub_proto::TableLine;

#[test]
fn moves_and_withdrawals_count_once_a_version() {
    let line = |slice: u32, host: &str, weight: f64| TableLine { slice, host: host.into(), weight };
    let delta = |version: u64, lines: Vec<TableLine>| Delta { version, lines, ..Delta::default() };
    let mut tables = Tables::default();
    let whole = Delta { reset: true, ..delta(1, vec![line(1, "a", 1.0), line(2, "a", 1.0)]) };
    assert_eq!(tables.take(&whole), Some((0, 0)));
    let moved = delta(2, vec![line(1, "b", 1.0), line(1, "a", 0.0), line(2, "b", 0.0001)]);
    assert_eq!(tables.take(&moved), Some((1, 1)));
    assert_eq!(tables.take(&moved), None, "another proxy learns it");
    assert_eq!(tables.slices_by_host(), BTreeMap::from([("a".into(), 1), ("b".into(), 1)]));
    assert_eq!(tables.version(), 2);
}
