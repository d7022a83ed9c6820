use super::*;
use railhub_proto::TableLine;

#[test]
fn counts_moves_and_cleared_lines_once_per_version() {
    let line = |slice: u32, host: &str, weight: f64| TableLine { slice, host: host.into(), weight };
    let delta = |version: u64, lines: Vec<TableLine>| Delta { version, lines, ..Delta::default() };
    let mut tables = Tables::default();
    let snapshot = Delta { reset: true, ..delta(1, vec![line(1, "a", 1.0), line(2, "a", 1.0)]) };
    assert_eq!(tables.apply(&snapshot), Some(TableChanges { moves: 0, cleared_lines: 0 }));
    let moved = delta(2, vec![line(1, "b", 1.0), line(1, "a", 0.0), line(2, "b", 0.0001)]);
    assert_eq!(tables.apply(&moved), Some(TableChanges { moves: 1, cleared_lines: 1 }));
    assert_eq!(tables.apply(&moved), None, "another proxy receives the same version");
    assert_eq!(tables.slices_by_host(), BTreeMap::from([("a".into(), 1), ("b".into(), 1)]));
    assert_eq!(tables.version(), 2);
}
