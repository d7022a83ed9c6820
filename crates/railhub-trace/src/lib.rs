//! Recorded traffic: what came, when, for which key, and how much work it was, where that is known.
//!
//! Two makers write it. Clients know each operation. A steward only has sums: so many operations of a class for
//! a slice, at a proxy, within a span; such a row stands for all of them, and has neither key nor work.
//! [`file`] keeps rows, [`cut`] takes parts, [`scale`] makes more or less of them, [`fit`] says what they look
//! like, [`show`] sums them up. All but [`file`] are free of I/O.
pub mod cut;
pub mod file;
pub mod fit;
pub mod scale;
pub mod show;

/// Operations that are made of one recording: past it they do not fit a machine's memory.
pub const OPERATIONS_MOST: u64 = 50_000_000;

/// Rows of one recording, in the order of their times. Times are seconds from its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Traffic {
    pub facts: Facts,
    pub rows: Vec<Row>,
}

/// What holds for all rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    /// 0: operations were not cut into slices.
    pub slices: u32,
    pub proxies: u32,
    /// Seconds that were recorded.
    pub length: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// Of sums: when their span ended.
    pub at: f64,
    pub class: u32,
    pub slice: u32,
    pub zone: u32,
    pub proxy: u32,
    pub key: Option<u64>,
    /// Core seconds at speed 1.
    pub work: Option<f64>,
    /// Operations that the row stands for, over the span before its time; a single one has no span.
    pub count: u32,
    pub span: f64,
}

impl Traffic {
    pub fn operations(&self) -> u64 {
        self.rows.iter().map(|row| u64::from(row.count)).sum()
    }

    pub fn sort(&mut self) {
        self.rows.sort_by(|a, b| a.at.total_cmp(&b.at));
    }
}

#[cfg(test)]
pub(crate) mod samples;
