//! Rows and recordings that the tests of this crate share.
use super::*;

pub fn row(at: f64, class: u32, key: u64) -> Row {
    let (slice, zone) = ((key % 7) as u32, (key % 2) as u32);
    Row { at, class, slice, zone, proxy: 3, key: Some(key), work: Some(0.1), count: 1, span: 0.0 }
}

pub fn traffic(rows: Vec<Row>) -> Traffic {
    let facts = Facts {
        classes: vec!["view".into(), "pay".into()],
        zones: vec!["north".into(), "south".into()],
        slices: 7,
        proxies: 12,
        length: rows.last().map_or(0.0, |row| row.at) + 1.0,
    };
    Traffic { facts, rows }
}
