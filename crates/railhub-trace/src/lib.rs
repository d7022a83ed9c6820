//! Owns workload traces: which operations arrived, when, for which key, and how much work each was, where known.
//!
//! A trace has one of two sources. Clients record each operation. A controller records aggregates from load reports:
//! a number of operations of a class for a slice, at a proxy, within a span. Such a row has neither key nor work.
//!
//! [`file`] stores rows, [`cut`] selects some, [`scale`] changes their rate, [`fit`] fits distributions and [`show`]
//! summarizes. Only [`file`] does I/O.
#![warn(missing_docs)]

pub mod cut;
pub mod file;
pub mod fit;
pub mod scale;
pub mod show;

/// Maximum operations of a trace that is scaled or replayed; bounds memory.
pub const MAX_OPERATIONS: u64 = 50_000_000;

/// Rows of one recording, in order of time. Times are seconds from its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// Names and dimensions that the rows refer to.
    pub header: TraceHeader,
    /// Operations and aggregates of operations.
    pub rows: Vec<TraceRow>,
}

/// What holds for all rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TraceHeader {
    /// Class names; a row holds an index into them.
    pub classes: Vec<String>,
    /// Zone names; a row holds an index into them.
    pub zones: Vec<String>,
    /// Number of slices of the key space; 0 if it was not partitioned.
    pub slices: u32,
    /// Number of proxies; 0 if unknown.
    pub proxies: u32,
    /// Length of the recording in seconds.
    pub length: f64,
}

/// One operation, or an aggregate of operations that differ only in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceRow {
    /// Seconds from the start of the recording; of an aggregate, when its span ended.
    pub at: f64,
    /// Index of the class.
    pub class: u32,
    /// Index of the slice.
    pub slice: u32,
    /// Index of the zone.
    pub zone: u32,
    /// Index of the proxy.
    pub proxy: u32,
    /// The key, if known.
    pub key: Option<u64>,
    /// Core seconds at speed 1, if known.
    pub work: Option<f64>,
    /// Number of operations in the row.
    pub count: u32,
    /// Seconds before `at` over which an aggregate's operations arrived; 0 for a single operation.
    pub span: f64,
}

impl Trace {
    /// Number of operations over all rows.
    pub fn operations(&self) -> u64 {
        self.rows.iter().map(|row| u64::from(row.count)).sum()
    }

    /// Sorts the rows by time; rows of the same time keep their order.
    pub fn sort(&mut self) {
        self.rows.sort_by(|left, right| left.at.total_cmp(&right.at));
    }
}

#[cfg(test)]
pub(crate) mod samples;
