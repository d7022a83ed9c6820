//! Selection of a part of a trace by time, class and zone.
use crate::{Trace, TraceRow};

/// Criteria for the rows to keep. Times are seconds since the start of the recording.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// Start of the selected interval, inclusive.
    pub from: f64,
    /// End of the selected interval, exclusive; `None` selects up to the end of the recording.
    pub until: Option<f64>,
    /// Indexes of the classes to keep; an empty list keeps all.
    pub classes: Vec<u32>,
    /// Indexes of the zones to keep; an empty list keeps all.
    pub zones: Vec<u32>,
}

impl Selection {
    /// Whether the row's class and zone are selected; its time is not considered.
    fn selects_class_and_zone(&self, row: &TraceRow) -> bool {
        contains_or_empty(&self.classes, row.class) && contains_or_empty(&self.zones, row.zone)
    }
}

fn contains_or_empty(indexes: &[u32], index: u32) -> bool {
    indexes.is_empty() || indexes.contains(&index)
}

/// Returns the selected rows, with times relative to the start of the interval. An aggregate whose span crosses a bound
/// of the interval is shortened to the part inside, and its count is reduced in proportion.
pub fn cut(trace: &Trace, selection: &Selection) -> Trace {
    let until = selection.until.unwrap_or(trace.header.length).min(trace.header.length);
    let mut header = trace.header.clone();
    header.length = (until - selection.from).max(0.0);
    let selected = trace.rows.iter().filter(|row| selection.selects_class_and_zone(row));
    let rows = selected.filter_map(|row| clip(row, selection.from, until)).collect();
    Trace { header, rows }
}

/// The part of a row inside the interval, with times relative to `from`; `None` if no operation is inside.
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
