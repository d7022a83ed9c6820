//! Sample rows and traces for the unit tests of this crate.
use super::*;

pub fn row(at: f64, class: u32, key: u64) -> TraceRow {
    let (slice, zone) = ((key % 7) as u32, (key % 2) as u32);
    TraceRow { at, class, slice, zone, proxy: 3, key: Some(key), work: Some(0.1), count: 1, span: 0.0 }
}

pub fn trace(rows: Vec<TraceRow>) -> Trace {
    let header = TraceHeader {
        classes: vec!["view".into(), "pay".into()],
        zones: vec!["north".into(), "south".into()],
        slices: 7,
        proxies: 12,
        length: rows.last().map_or(0.0, |row| row.at) + 1.0,
    };
    Trace { header, rows }
}
