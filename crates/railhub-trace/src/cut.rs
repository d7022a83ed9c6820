//! Owns selecting a part of a trace.
use crate::{Trace, TraceRow};

/// Which rows are kept. Times are seconds of the recording.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// Start of the part, inclusive.
    pub from: f64,
    /// End of the part, exclusive; `None`: the end of the recording.
    pub until: Option<f64>,
    /// Indexes of the classes that are kept; empty: all.
    pub classes: Vec<u32>,
    /// Indexes of the zones that are kept; empty: all.
    pub zones: Vec<u32>,
}

impl Selection {
    fn selects(&self, row: &TraceRow) -> bool {
        contains_or_empty(&self.classes, row.class) && contains_or_empty(&self.zones, row.zone)
    }
}

fn contains_or_empty(indexes: &[u32], index: u32) -> bool {
    indexes.is_empty() || indexes.contains(&index)
}

/// Returns the part, with times from its start. Of an aggregate whose span crosses an edge, the operations inside are
/// kept in proportion.
pub fn cut(trace: &Trace, part: &Selection) -> Trace {
    let until = part.until.unwrap_or(trace.header.length).min(trace.header.length);
    let mut header = trace.header.clone();
    header.length = (until - part.from).max(0.0);
    let selected = trace.rows.iter().filter(|row| part.selects(row));
    let rows = selected.filter_map(|row| clip(row, part.from, until)).collect();
    Trace { header, rows }
}

/// The part of a row inside the interval, if any.
fn clip(row: &TraceRow, from: f64, until: f64) -> Option<TraceRow> {
    if row.span == 0.0 {
        return (from..until).contains(&row.at).then_some(TraceRow { at: row.at - from, ..*row });
    }
    let begin = (row.at - row.span).max(from);
    let end = row.at.min(until);
    let span = end - begin;
    let count = (f64::from(row.count) * span / row.span).round() as u32;
    (span > 0.0 && count > 0).then_some(TraceRow { at: end - from, span, count, ..*row })
}

#[cfg(test)]
mod tests;
